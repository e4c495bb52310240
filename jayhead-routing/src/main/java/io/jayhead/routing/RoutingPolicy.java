package io.jayhead.routing;

import java.util.Comparator;
import java.util.List;

/** Chooses one of the eligible candidates of a request. */
public enum RoutingPolicy {
    /**
     * Chooses the better of two random candidates among those with a near-best estimated time to the first token, see
     * {@link RoutingParameters}.
     */
    ESTIMATED_FIRST_TOKEN {
        @Override
        Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits) {
            return PowerOfTwoChoices.select(eligible, state, nowMs, randomBits);
        }
    },
    /** Chooses the candidates in turn; a baseline for comparison. */
    ROUND_ROBIN {
        @Override
        Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits) {
            return eligible.get((int) Math.floorMod(state.sentCount(), (long) eligible.size()));
        }
    },
    /**
     * Chooses the candidate with the lowest load in its last report, where no report counts as no load; a baseline for
     * comparison.
     */
    LEAST_REPORTED_LOAD {
        @Override
        Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits) {
            return eligible.stream()
                    .min(Comparator.comparingInt(candidate -> reportedLoad(candidate, state)))
                    .orElseThrow();
        }
    };

    /**
     * Chooses a candidate.
     *
     * @param eligible the candidates, at least one
     * @param state the state of the upstreams
     * @param nowMs the current time
     * @param randomBits 64 random bits
     * @return the chosen candidate
     */
    abstract Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits);

    private static int reportedLoad(Candidate candidate, RoutingState state) {
        return state.upstream(candidate.upstream())
                .report()
                .map(report -> report.queued() + report.running())
                .orElse(0);
    }
}
