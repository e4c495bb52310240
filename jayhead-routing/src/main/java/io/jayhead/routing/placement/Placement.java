package io.jayhead.routing.placement;

import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream with the shortest expected time to the first byte.
 *
 * <p>The load pattern: engines of uneven speed and load, some of whose machines are slow for a moment, and prompt parts
 * of which a few have much of the traffic. The rates of the service, the known load of each engine and the time to read
 * the shared parts again decide together.
 */
public final class Placement {

    /** Limits the effect of one slow answer. */
    private static final double MAX_SLOWNESS = 10;
    /** Penalty by which a suspect upstream is chosen only if no other candidate is left. */
    private static final double SUSPECT_PENALTY_MS = 60_000;
    /** Penalty by which an engine whose memory is probably full is chosen only if the others are too, or suspect. */
    private static final double FULL_MEMORY_PENALTY_MS = 30_000;
    /**
     * Penalty for the traffic between availability zones, which is billed. It is small, so that it only decides between
     * upstreams of about the same cost.
     */
    private static final double OTHER_ZONE_PENALTY_MS = 2.0;

    private Placement() {}

    /**
     * Chooses an upstream.
     *
     * @param candidates the upstreams that accept requests
     * @param request the request
     * @param rates how fast the upstreams of the service work
     * @return the choice, or empty if all candidates are excluded or have no memory left
     */
    public static Optional<PlacementChoice> choose(
            List<PlacementCandidate> candidates, PlacementRequest request, ServiceRates rates) {
        List<PlacementCandidate> untried = candidates.stream()
                .filter(candidate ->
                        !request.excluded().contains(candidate.upstream().incarnation()))
                .toList();
        PartAffinity affinity = PartAffinity.of(untried, request, rates);
        return untried.stream()
                .filter(candidate -> memory(candidate, request, affinity) != EngineMemory.FULL)
                .map(candidate -> new Ranked(candidate, cost(candidate, request, affinity, rates)))
                .min(Comparator.comparingDouble(Ranked::costMs)
                        .thenComparingInt(ranked -> ranked.tieBreaker(request.salt())))
                .map(Ranked::candidate)
                .map(candidate -> new PlacementChoice(
                        candidate, affinity.tokensToRead(candidate), affinity.memoryTokens(candidate)));
    }

    /**
     * Estimates the time until the first byte of an answer, including penalties.
     *
     * @param candidate the upstream
     * @param request the request
     * @param affinity the engines that hold the shared parts of the request
     * @param rates how fast the upstreams of the service work
     * @return the time in milliseconds; for suspect upstreams only useful to compare candidates
     */
    static double cost(
            PlacementCandidate candidate, PlacementRequest request, PartAffinity affinity, ServiceRates rates) {
        double penaltyMs = candidate.suspect() ? SUSPECT_PENALTY_MS : 0;
        penaltyMs += candidate.sameZone() ? 0 : OTHER_ZONE_PENALTY_MS;
        if (!request.modelRequest()) {
            return penaltyMs + plainCallMs(candidate, rates);
        }
        boolean fits = !rates.isLearned() || memory(candidate, request, affinity) == EngineMemory.ENOUGH;
        penaltyMs += fits ? 0 : FULL_MEMORY_PENALTY_MS;
        double rereadMs = affinity.rereadFactor(candidate) * rates.readMs(request.sharedTokens());
        return penaltyMs + rereadMs + generationMs(candidate, request, rates);
    }

    /** Estimates how much longer a plain call takes than at an idle upstream of normal speed. */
    private static double plainCallMs(PlacementCandidate candidate, ServiceRates rates) {
        double usualMs = rates.expectedPlainCallMs();
        double excessMs = Math.max(0, candidate.averageAnswerMs() - usualMs);
        double loadShare = candidate.work().requests() / candidate.work().slots();
        return usualMs * (candidate.slowdown() * (1 + loadShare) - 1) + excessMs;
    }

    /** Estimates the time to the first event of a generation whose whole prompt has to be read. */
    private static double generationMs(PlacementCandidate candidate, PlacementRequest request, ServiceRates rates) {
        UpstreamWork work = candidate.work();
        double tokens = (double) work.pendingTokensToRead() + request.promptTokens();
        double firstEventMs = rates.firstEventMs(tokens, work.requests());
        double queueMs = rates.queueMs(work.requests(), work.slots());
        double slowness = Math.max(1, Math.min(MAX_SLOWNESS, candidate.slowness()));
        return (firstEventMs * candidate.slowdown() + queueMs) * slowness;
    }

    private static EngineMemory memory(PlacementCandidate candidate, PlacementRequest request, PartAffinity affinity) {
        return EngineMemory.of(candidate.work(), affinity.memoryTokens(candidate), request.engineMemoryTokens());
    }

    /** A candidate with its cost, which is computed once. */
    private record Ranked(PlacementCandidate candidate, double costMs) {
        int tieBreaker(int salt) {
            return RendezvousHash.weight(candidate.upstream().id(), Integer.toString(salt));
        }
    }
}
