package io.jayhead.admission.room;

import io.jayhead.admission.overload.AdaptiveLimit;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Divides the limit of a service between ranks by their recent demand; immutable.
 *
 * <p>A request is admitted below the limit less what the more urgent ranks are expected to need and do not use yet.
 * Each rank keeps a share, so that no rank is starved while the more urgent ones alone exceed the limit.
 */
final class RankShares {

    /** The rank of requests beyond the usual load of their organisation, less urgent than all others. */
    static final int EXCESS_RANK = RoomRequest.LAST_RANK + 1;

    /** The part of its share by demand that a rank keeps, together with the less urgent ones. */
    private static final double GUARANTEED_SHARE = 0.4;

    private static final long HOLD_WEIGHT_HALF_LIFE_MS = 4_000;

    private final List<RankDemand> demands;

    private RankShares(List<RankDemand> demands) {
        this.demands = demands;
    }

    static RankShares empty() {
        return new RankShares(Collections.nCopies(EXCESS_RANK + 1, RankDemand.NONE));
    }

    RankShares arrived(int rank, long nowMs) {
        return with(rank, demands.get(rank).arrived(nowMs));
    }

    RankShares admitted(int rank) {
        return with(rank, demands.get(rank).admitted());
    }

    RankShares left(int rank, double heldMs) {
        return with(rank, demands.get(rank).left(heldMs));
    }

    int inFlight() {
        return inFlight(0, demands.size());
    }

    /** Returns the requests in flight of more urgent ranks. */
    int inFlightBefore(int rank) {
        return inFlight(0, rank);
    }

    /** Returns what the more urgent ranks are expected to need and do not use yet. */
    double reservedBefore(int rank, long nowMs) {
        double reserved = 0;
        for (RankDemand demand : demands.subList(0, rank)) {
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
        return rank > 0 && inFlight(rank, demands.size()) + draw < guaranteed(rank, limit.requests(), nowMs);
    }

    /** Returns the requests of a rank and of less urgent ones that may be in flight at the present demand. */
    double capacity(int rank, double limit, long nowMs) {
        return Math.max(limit - expected(0, rank, nowMs), guaranteed(rank, limit, nowMs));
    }

    /** Returns the mean time for which a request of any rank is in flight; 0 if unknown. */
    double holdMs(long nowMs) {
        double weighted = 0;
        double arrivals = 0;
        for (RankDemand demand : demands) {
            double weight = demand.holdMs() == 0 ? 0 : demand.arrivals().at(nowMs, HOLD_WEIGHT_HALF_LIFE_MS);
            weighted += weight * demand.holdMs();
            arrivals += weight;
        }
        return arrivals == 0 ? 0 : weighted / arrivals;
    }

    private double guaranteed(int rank, double limit, long nowMs) {
        double all = expected(0, demands.size(), nowMs);
        return all == 0 ? 0 : GUARANTEED_SHARE * limit * expected(rank, demands.size(), nowMs) / all;
    }

    private double expected(int fromRank, int toRank, long nowMs) {
        double sum = 0;
        for (RankDemand demand : demands.subList(fromRank, toRank)) {
            sum += demand.expectedInFlight(nowMs);
        }
        return sum;
    }

    private int inFlight(int fromRank, int toRank) {
        int sum = 0;
        for (RankDemand demand : demands.subList(fromRank, toRank)) {
            sum += demand.inFlight();
        }
        return sum;
    }

    private RankShares with(int rank, RankDemand demand) {
        List<RankDemand> next = new ArrayList<>(demands);
        next.set(rank, demand);
        return new RankShares(next);
    }
}
