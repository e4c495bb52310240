package io.jayhead.routing;

import java.util.List;

/**
 * Chooses the better of two random near-best candidates.
 *
 * <p>Many routers decide on the same outdated reports. If every router chose the best estimate, all would pick the same
 * engine until its next report.
 */
final class PowerOfTwoChoices {

    /** Added to each estimate, so that very short estimates do not dominate the weights. */
    private static final double WEIGHT_FLOOR_MS = 50;
    /** Weight factor of an upstream with recent silent failures; one failure must not exclude the upstream. */
    private static final double SILENT_FAILURE_WEIGHT = 0.5;

    private static final double UNSIGNED_INT_RANGE = 4_294_967_296.0;
    private static final int BITS_PER_DRAW = 32;

    private PowerOfTwoChoices() {}

    /**
     * Chooses a candidate.
     *
     * @param eligible the candidates, at least one
     * @param state the state of the upstreams
     * @param nowMs the current time
     * @param randomBits 64 random bits, 32 for each draw
     * @return the chosen candidate
     */
    static Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits) {
        List<Candidate> nearBest = nearBest(eligible, state.parameters());
        double[] weights = nearBest.stream()
                .mapToDouble(candidate -> weight(candidate, state, nowMs))
                .toArray();
        int firstIndex = draw(weights, fraction(randomBits >>> BITS_PER_DRAW));
        weights[firstIndex] = 0;
        int secondIndex = nearBest.size() == 1 ? firstIndex : draw(weights, fraction(randomBits & 0xFFFF_FFFFL));
        Candidate firstCandidate = nearBest.get(firstIndex);
        Candidate secondCandidate = nearBest.get(secondIndex);
        return better(firstCandidate, secondCandidate, state);
    }

    /** Prefers fewer own requests in flight if the estimates are too close to distinguish. */
    private static Candidate better(Candidate firstCandidate, Candidate secondCandidate, RoutingState state) {
        double differenceMs = secondCandidate.estimatedFirstTokenMs() - firstCandidate.estimatedFirstTokenMs();
        if (Math.abs(differenceMs) > state.parameters().nearBestSlackMs()) {
            return differenceMs < 0 ? secondCandidate : firstCandidate;
        }
        int inFlightDifference = inFlight(secondCandidate, state) - inFlight(firstCandidate, state);
        if (inFlightDifference != 0) {
            return inFlightDifference < 0 ? secondCandidate : firstCandidate;
        }
        return differenceMs < 0 ? secondCandidate : firstCandidate;
    }

    private static int inFlight(Candidate candidate, RoutingState state) {
        return state.upstream(candidate.upstream()).inFlight().size();
    }

    private static List<Candidate> nearBest(List<Candidate> eligible, RoutingParameters parameters) {
        double bestMs = eligible.stream()
                .mapToDouble(Candidate::estimatedFirstTokenMs)
                .min()
                .orElseThrow();
        double limitMs = Math.max(bestMs * parameters.nearBestRatio(), bestMs + parameters.nearBestSlackMs());
        return eligible.stream()
                .filter(candidate -> candidate.estimatedFirstTokenMs() <= limitMs)
                .toList();
    }

    private static double weight(Candidate candidate, RoutingState state, long nowMs) {
        boolean failed = state.upstream(candidate.upstream())
                        .silentFailures(nowMs, state.parameters().silentFailureWindowMs())
                > 0;
        double base = 1 / (candidate.estimatedFirstTokenMs() + WEIGHT_FLOOR_MS);
        return failed ? base * SILENT_FAILURE_WEIGHT : base;
    }

    private static int draw(double[] weights, double fraction) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double remaining = fraction * total;
        int lastPositive = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            lastPositive = i;
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return lastPositive;
    }

    private static double fraction(long unsignedInt) {
        return unsignedInt / UNSIGNED_INT_RANGE;
    }
}
