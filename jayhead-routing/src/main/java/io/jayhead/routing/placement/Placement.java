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

    /** The prompt tokens that an engine is assumed to read per millisecond. */
    public static final double PROMPT_TOKENS_PER_MS = 56;
    /** The delay of the first token caused by each other request that is running at the engine. */
    private static final double RUNNING_REQUEST_MS = 3.0;
    /** The time until the first event of a generation, not counting the time to read the prompt. */
    private static final double FIRST_EVENT_MS = 25;
    /** Limits the effect of one slow answer. */
    private static final double MAX_SLOWNESS = 10;
    /** The expected time of a plain call; each running request adds it, divided by the slots of the upstream. */
    private static final double PLAIN_CALL_MS = 20;
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
     * @return the choice, or empty if all candidates are excluded
     */
    public static Optional<PlacementChoice> choose(List<PlacementCandidate> candidates, PlacementRequest request) {
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
                                (PlacementCandidate candidate) -> cost(candidate, request, preferredIds))
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
     * Estimates the time until the first event of a generation at an engine of normal speed that has no part of the
     * prompt cached.
     *
     * @param promptTokens the tokens of the prompt and of the prompts that the engine reads before it
     * @param running the number of requests at the engine
     * @return the time in milliseconds
     */
    public static double expectedFirstEventMs(long promptTokens, int running) {
        return FIRST_EVENT_MS + promptTokens / PROMPT_TOKENS_PER_MS + RUNNING_REQUEST_MS * running;
    }

    /**
     * Estimates the time until the first byte of an answer, including penalties.
     *
     * @param candidate the upstream
     * @param request the request
     * @param preferredIds the identities of the engines that the shared parts prefer, most preferred first
     * @return the time in milliseconds; for suspect upstreams only useful to compare candidates
     */
    static double cost(PlacementCandidate candidate, PlacementRequest request, List<String> preferredIds) {
        double baseMs = candidate.suspect() ? SUSPECT_PENALTY_MS : 0;
        baseMs += candidate.sameZone() ? 0 : OTHER_ZONE_PENALTY_MS;
        int running = candidate.inFlight() + candidate.reportedOtherRequests();
        if (!request.modelRequest()) {
            int slots = Math.max(1, candidate.upstream().slots());
            double excessMs = Math.max(0, candidate.averageAnswerMs() - PLAIN_CALL_MS);
            return baseMs + PLAIN_CALL_MS * running / slots + excessMs;
        }
        int rank = preferredIds.indexOf(candidate.upstream().id());
        double factor = REREAD_FACTOR_BY_RANK[rank < 0 ? REREAD_FACTOR_BY_RANK.length - 1 : rank];
        double rereadMs = factor * request.sharedTokens() / PROMPT_TOKENS_PER_MS;
        double expectedMs = expectedFirstEventMs(candidate.pendingTokensToRead() + request.promptTokens(), running);
        double slowness = Math.max(1, Math.min(MAX_SLOWNESS, candidate.slowness()));
        return baseMs + rereadMs + expectedMs * slowness;
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
