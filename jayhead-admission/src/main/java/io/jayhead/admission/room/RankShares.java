package io.jayhead.admission.room;

import io.jayhead.admission.overload.AdaptiveLimit;
import java.util.Collection;
import java.util.TreeMap;

/**
 * Divides the limit of a service between ranks by their recent demand; immutable.
 *
 * <p>A request is admitted below the limit less what the more urgent ranks are expected to need and do not use yet.
 * Each rank keeps a share, so that no rank is starved while the more urgent ones alone exceed the limit.
 */
final class RankShares {

    /** The rank of requests beyond the usual load of their organisation, less urgent than all others. */
    static final int EXCESS_RANK = RoomRequest.LAST_RANK + 1;

    /** The part of its share by demand that a rank keeps. */
    private static final double GUARANTEED_SHARE = 0.4;
    /**
     * A rank whose demand is below this share of the limit keeps all of it: its requests need little, so that refusing
     * them would hardly help the more urgent ones.
     */
    private static final double SMALL_SHARE = 0.1;

    private final TreeMap<Integer, RankDemand> demands;

    private RankShares(TreeMap<Integer, RankDemand> demands) {
        this.demands = demands;
    }

    static RankShares empty() {
        return new RankShares(new TreeMap<>());
    }

    RankShares arrived(int rank, long nowMs) {
        return with(rank, demand(rank).arrived(nowMs));
    }

    RankShares admitted(int rank) {
        return with(rank, demand(rank).admitted());
    }

    RankShares left(int rank, double heldMs) {
        return with(rank, demand(rank).left(heldMs));
    }

    int inFlight() {
        return inFlight(demands.values());
    }

    /** Returns the requests in flight of more urgent ranks. */
    int inFlightBefore(int rank) {
        return inFlight(before(rank));
    }

    /** Returns what the more urgent ranks are expected to need and do not use yet. */
    double reservedBefore(int rank, long nowMs) {
        double reserved = 0;
        for (RankDemand demand : before(rank)) {
            reserved += Math.max(0, demand.expectedInFlight(nowMs) - demand.inFlight());
        }
        return reserved;
    }

    /**
     * Tells whether a request may be sent.
     *
     * @param rank its rank
     * @param limit the limit of the service
     * @param nowMs the time
     * @param draw a random number from 0, inclusive, to 1, exclusive; decides about fractions of requests
     * @return true below the limit for the rank
     */
    boolean admits(int rank, AdaptiveLimit limit, long nowMs, double draw) {
        int total = inFlight();
        if (total == 0 && limit.requests() >= 1) {
            return true;
        }
        if (limit.admits(total + reservedBefore(rank, nowMs), draw)) {
            return true;
        }
        return rank > 0 && demand(rank).inFlight() + draw < guaranteed(rank, limit.requests(), nowMs);
    }

    /**
     * Returns the mean time between two places that become free for a rank.
     *
     * @param rank the rank
     * @param limit the requests that may be in flight at the service
     * @param nowMs the time in milliseconds
     * @param unknownHoldMs the assumed time in milliseconds for which requests are in flight, used until it is known
     * @return the time in milliseconds
     */
    double placeIntervalMs(int rank, double limit, long nowMs, double unknownHoldMs) {
        double available = Math.max(0, limit - expected(before(rank), nowMs));
        double availablePerMs = available / knownOr(holdMs(nowMs), unknownHoldMs);
        double guaranteedPerMs =
                guaranteed(rank, limit, nowMs) / knownOr(demand(rank).holdMs(), unknownHoldMs);
        return 1 / Math.max(availablePerMs, guaranteedPerMs);
    }

    /** Returns the mean time in milliseconds for which a request of any rank is in flight; 0 if unknown. */
    private double holdMs(long nowMs) {
        double weighted = 0;
        double arrivals = 0;
        for (RankDemand demand : demands.values()) {
            double weight = demand.holdMs() == 0 ? 0 : demand.recentArrivals(nowMs);
            weighted += weight * demand.holdMs();
            arrivals += weight;
        }
        return arrivals == 0 ? 0 : weighted / arrivals;
    }

    /** Returns the requests that a rank may have in flight whatever the more urgent ranks need. */
    private double guaranteed(int rank, double limit, long nowMs) {
        double all = expected(demands.values(), nowMs);
        if (all == 0) {
            return 0;
        }
        double demand = demand(rank).expectedInFlight(nowMs);
        double byDemand = GUARANTEED_SHARE * limit * demand / all;
        // The square root allows for the random variation of the demand.
        double small = Math.min(demand + Math.sqrt(demand), SMALL_SHARE * limit);
        return Math.max(byDemand, small);
    }

    private static double knownOr(double holdMs, double unknownHoldMs) {
        return holdMs == 0 ? unknownHoldMs : holdMs;
    }

    private RankDemand demand(int rank) {
        return demands.getOrDefault(rank, RankDemand.NONE);
    }

    private Collection<RankDemand> before(int rank) {
        return demands.headMap(rank).values();
    }

    private static double expected(Collection<RankDemand> demands, long nowMs) {
        double sum = 0;
        for (RankDemand demand : demands) {
            sum += demand.expectedInFlight(nowMs);
        }
        return sum;
    }

    private static int inFlight(Collection<RankDemand> demands) {
        int sum = 0;
        for (RankDemand demand : demands) {
            sum += demand.inFlight();
        }
        return sum;
    }

    private RankShares with(int rank, RankDemand demand) {
        TreeMap<Integer, RankDemand> next = new TreeMap<>(demands);
        next.put(rank, demand);
        return new RankShares(next);
    }
}
