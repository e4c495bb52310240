package io.jayhead.routing;

import java.util.List;

/**
 * Takes the better of two random near-best candidates.
 *
 * <p>Many routers hold the same stale reports; if each took the best estimate, all would pick the same engine until the
 * next report.
 */
final class PowerOfTwoChoices {

    /** Keeps the weights of very short estimates from dominating. */
    private static final double WEIGHT_FLOOR_MS = 50;
    /** One silent failure makes an upstream less likely but never keeps it out. */
    private static final double SILENT_FAILURE_WEIGHT = 0.5;

    private static final double UNSIGNED_INT_RANGE = 4_294_967_296.0;
    private static final int HALF_BITS = 32;

    private PowerOfTwoChoices() {}

    /**
     * Chooses a candidate.
     *
     * @param eligible the candidates, at least one
     * @param state the state
     * @param nowMs the time
     * @param randomBits 64 random bits, 32 for each draw
     * @return the candidate chosen
     */
    static Candidate select(List<Candidate> eligible, RoutingState state, long nowMs, long randomBits) {
        List<Candidate> nearBest = nearBest(eligible, state.parameters());
        double[] weights = nearBest.stream()
                .mapToDouble(candidate -> weight(candidate, state, nowMs))
                .toArray();
        int first = draw(weights, fraction(randomBits >>> HALF_BITS));
        weights[first] = 0;
        int second = nearBest.size() == 1 ? first : draw(weights, fraction(randomBits & 0xFFFF_FFFFL));
        Candidate one = nearBest.get(first);
        Candidate other = nearBest.get(second);
        return better(one, other, state);
    }

    /** Takes the engine with fewer own requests in flight where the estimates are too close to tell apart. */
    private static Candidate better(Candidate one, Candidate other, RoutingState state) {
        double differenceMs = other.estimatedFirstTokenMs() - one.estimatedFirstTokenMs();
        if (Math.abs(differenceMs) > state.parameters().nearBestSlackMs()) {
            return differenceMs < 0 ? other : one;
        }
        int ownDifference = inFlight(other, state) - inFlight(one, state);
        if (ownDifference != 0) {
            return ownDifference < 0 ? other : one;
        }
        return differenceMs < 0 ? other : one;
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
        double rest = fraction * total;
        int last = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] <= 0) {
                continue;
            }
            last = i;
            rest -= weights[i];
            if (rest < 0) {
                return i;
            }
        }
        return last;
    }

    private static double fraction(long unsignedInt) {
        return unsignedInt / UNSIGNED_INT_RANGE;
    }
}
