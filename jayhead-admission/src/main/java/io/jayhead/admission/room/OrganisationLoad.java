package io.jayhead.admission.room;

import io.jayhead.admission.collection.PersistentMap;
import io.jayhead.model.OrganisationName;

/**
 * Compares the recent requests of each organisation with its usual ones; immutable.
 *
 * <p>It answers the load pattern in which one organisation sends many times its usual load: its requests beyond that
 * load give way to those of all others. Large organisations at their usual load are not affected.
 */
final class OrganisationLoad {

    private static final long RECENT_HALF_LIFE_MS = 2_000;
    private static final long USUAL_HALF_LIFE_MS = 60_000;
    /** The recent requests, as a multiple of the usual ones, from which an organisation exceeds its usual load. */
    private static final double EXCESS_FACTOR = 2.5;
    /** Allows for the random bursts of organisations with few requests. */
    private static final double ALLOWED_BURST_REQUESTS = 5;
    /** The usual load is not known before this time. */
    private static final long LEARNING_MS = 5_000;

    private final PersistentMap<OrganisationName, Load> loads;
    private final long sinceMs;

    private OrganisationLoad(PersistentMap<OrganisationName, Load> loads, long sinceMs) {
        this.loads = loads;
        this.sinceMs = sinceMs;
    }

    static OrganisationLoad empty() {
        return new OrganisationLoad(PersistentMap.empty(), 0);
    }

    OrganisationLoad arrived(OrganisationName organisation, long nowMs) {
        Load next = load(organisation).plusOne(nowMs);
        return new OrganisationLoad(loads.with(organisation, next), sinceMs == 0 ? nowMs : sinceMs);
    }

    boolean exceedsUsual(OrganisationName organisation, long nowMs) {
        if (nowMs - sinceMs < LEARNING_MS) {
            return false;
        }
        Load load = load(organisation);
        double recent = load.recent().at(nowMs, RECENT_HALF_LIFE_MS);
        // The count that the recent half-life would give at the usual rate.
        double expected = load.usual().ratePerMs(nowMs, USUAL_HALF_LIFE_MS)
                / observedShare(nowMs)
                * (RECENT_HALF_LIFE_MS / Math.log(2));
        return recent > ALLOWED_BURST_REQUESTS + EXCESS_FACTOR * expected;
    }

    /** Returns the share of its final weight that a count has reached since the first request. */
    private double observedShare(long nowMs) {
        return 1 - Math.pow(0.5, (nowMs - sinceMs) / (double) USUAL_HALF_LIFE_MS);
    }

    private Load load(OrganisationName organisation) {
        return loads.get(organisation).orElse(Load.NONE);
    }

    private record Load(DecayedCount recent, DecayedCount usual) {

        static final Load NONE = new Load(DecayedCount.ZERO, DecayedCount.ZERO);

        Load plusOne(long nowMs) {
            return new Load(recent.plusOne(nowMs, RECENT_HALF_LIFE_MS), usual.plusOne(nowMs, USUAL_HALF_LIFE_MS));
        }
    }
}
