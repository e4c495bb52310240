package io.jayhead.routing.placement;

import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream with the shortest expected time to the first byte.
 *
 * <p>Requests that share prompt parts prefer the same two engines. Rendezvous hashing (highest random weight) of the
 * prompt part and the engine selects them, so all routers agree without exchanging messages. Every engine but the first
 * of the two is charged a multiple of the prefill time that a cached part saves. Once the queue at a preferred engine
 * costs more, another engine is chosen.
 */
public final class Placement {

    /** Limits the effect of one slow answer. */
    private static final double MAX_SLOWNESS = 10;
    /** Penalty by which a suspect upstream is chosen only if no other candidate is left. */
    private static final double SUSPECT_PENALTY_MS = 60_000;
    /**
     * Penalty for the traffic between availability zones, which is billed. It is small, so that it only decides between
     * upstreams of about the same cost.
     */
    private static final double OTHER_ZONE_PENALTY_MS = 2.0;
    /**
     * Factors for the prefill time of the shared parts, by the rank of the engine in the preference order. The first
     * engine has the parts cached, and the second takes the overflow of the first. On any other engine the prefill
     * benefits no other request and delays the requests that wait there.
     */
    private static final double[] REREAD_FACTOR_BY_RANK = {0, 1.5, 4};

    private Placement() {}

    /**
     * Chooses an upstream.
     *
     * @param candidates the upstreams that accept requests
     * @param request the request
     * @param rates how fast the upstreams of the service work
     * @return the choice, or empty if all candidates are excluded
     */
    public static Optional<PlacementChoice> choose(
            List<PlacementCandidate> candidates, PlacementRequest request, ServiceRates rates) {
        List<PlacementCandidate> untried = candidates.stream()
                .filter(candidate ->
                        !request.excluded().contains(candidate.upstream().incarnation()))
                .toList();
        if (untried.isEmpty()) {
            return Optional.empty();
        }
        List<String> preferredIds = preferredIds(untried, request.affinityKey());
        return untried.stream()
                .min(Comparator.comparingDouble(
                                (PlacementCandidate candidate) -> cost(candidate, request, preferredIds, rates))
                        .thenComparingInt(candidate ->
                                RendezvousHash.weight(candidate.upstream().id(), Integer.toString(request.salt()))))
                .map(candidate -> new PlacementChoice(candidate, tokensToRead(candidate, request, preferredIds)));
    }

    /**
     * Assumes that the most preferred engine has the shared parts cached, as all requests that share them prefer it.
     */
    private static int tokensToRead(PlacementCandidate candidate, PlacementRequest request, List<String> preferredIds) {
        boolean cached = preferredIds.indexOf(candidate.upstream().id()) == 0;
        return Math.max(0, request.promptTokens() - (cached ? request.sharedTokens() : 0));
    }

    /**
     * Estimates the time until the first byte of an answer, including penalties.
     *
     * @param candidate the upstream
     * @param request the request
     * @param preferredIds the identities of the engines that the shared parts prefer, most preferred first
     * @param rates how fast the upstreams of the service work
     * @return the time in milliseconds; for suspect upstreams only useful to compare candidates
     */
    static double cost(
            PlacementCandidate candidate, PlacementRequest request, List<String> preferredIds, ServiceRates rates) {
        double penaltyMs = candidate.suspect() ? SUSPECT_PENALTY_MS : 0;
        penaltyMs += candidate.sameZone() ? 0 : OTHER_ZONE_PENALTY_MS;
        if (!request.modelRequest()) {
            return penaltyMs + plainCallMs(candidate, rates);
        }
        int rank = preferredIds.indexOf(candidate.upstream().id());
        double factor = REREAD_FACTOR_BY_RANK[rank < 0 ? REREAD_FACTOR_BY_RANK.length - 1 : rank];
        double rereadMs = factor * rates.readMs(request.sharedTokens());
        return penaltyMs + rereadMs + generationMs(candidate, request, rates);
    }

    /** Estimates how much longer a plain call takes than at an idle upstream of normal speed. */
    private static double plainCallMs(PlacementCandidate candidate, ServiceRates rates) {
        double usualMs = rates.expectedPlainCallMs();
        double excessMs = Math.max(0, candidate.averageAnswerMs() - usualMs);
        double loadShare = requests(candidate) / Math.max(1, candidate.slots());
        return usualMs * (candidate.slowdown() * (1 + loadShare) - 1) + excessMs;
    }

    /** Estimates the time to the first event of a generation whose whole prompt has to be read. */
    private static double generationMs(PlacementCandidate candidate, PlacementRequest request, ServiceRates rates) {
        double tokens = (double) candidate.pendingTokensToRead() + request.promptTokens();
        double firstEventMs = rates.firstEventMs(tokens, requests(candidate));
        double queueMs = rates.queueMs(requests(candidate), Math.max(1, candidate.slots()));
        double slowness = Math.max(1, Math.min(MAX_SLOWNESS, candidate.slowness()));
        return (firstEventMs + queueMs) * slowness * candidate.slowdown();
    }

    private static double requests(PlacementCandidate candidate) {
        return candidate.inFlight() + candidate.otherRequests();
    }

    private static List<String> preferredIds(List<PlacementCandidate> candidates, String key) {
        if (key.isEmpty()) {
            return List.of();
        }
        return candidates.stream()
                .filter(candidate -> !candidate.suspect())
                .map(candidate -> candidate.upstream().id())
                .sorted(Comparator.comparingInt(id -> RendezvousHash.weight(id, key)))
                .limit(REREAD_FACTOR_BY_RANK.length - 1)
                .toList();
    }
}
