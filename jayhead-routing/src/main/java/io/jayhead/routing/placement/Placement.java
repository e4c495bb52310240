package io.jayhead.routing.placement;

import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream with the least expected time to the first byte.
 *
 * <p>Requests that share prompt parts prefer the same two engines, by highest random weight of the part and the engine,
 * so that all routers agree on them without exchanging messages. The preference is worth the prefill time that a cached
 * part saves and ends where the queue at the preferred engine costs more.
 */
public final class Placement {

    /** The prompt tokens that an engine reads in a millisecond, when the service does not say otherwise. */
    public static final double PROMPT_TOKENS_PER_MS = 56;
    /** The time that one running request adds for the others, in milliseconds of the first token. */
    private static final double RUNNING_REQUEST_MS = 3.0;
    /** The time of a generation until its first event beside the reading of its prompt. */
    private static final double FIRST_EVENT_MS = 25;
    /** Bounds what one slow answer can do. */
    private static final double MAX_SLOWNESS = 10;
    /** The expected time of a plain call, used per request ahead. */
    private static final double PLAIN_CALL_MS = 20;
    /** A suspect upstream is chosen only when no other is left. */
    private static final double SUSPECT_MS = 60_000;
    /** Bytes between availability zones are billed; a small weight keeps near upstreams first among equals. */
    private static final double OTHER_ZONE_MS = 2.0;
    /**
     * The cost of reading the shared parts again, by the rank of the engine for them. The first engine keeps them, the
     * second takes what the first cannot; elsewhere they are read in vain, and other requests wait meanwhile.
     */
    private static final double[] REREAD_FACTOR_BY_RANK = {0, 1.5, 4};

    private Placement() {}

    /**
     * Chooses an upstream.
     *
     * @param candidates the upstreams that take requests
     * @param request the request
     * @return the choice, or empty if no candidate is left
     */
    public static Optional<PlacementChoice> choose(List<Candidate> candidates, PlacementRequest request) {
        List<Candidate> open = candidates.stream()
                .filter(each -> !request.excluded().contains(each.upstream().incarnation()))
                .toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        List<String> holders = holders(open, request.affinityKey());
        return open.stream()
                .min(Comparator.comparingDouble((Candidate each) -> cost(each, request, holders))
                        .thenComparingInt(
                                each -> RendezvousHash.weight(each.upstream().id(), Integer.toString(request.salt()))))
                .map(each -> new PlacementChoice(each, tokensToRead(each, request, holders)));
    }

    /** The first engine for the shared parts holds them, as every request that shares them prefers it. */
    private static int tokensToRead(Candidate candidate, PlacementRequest request, List<String> holders) {
        boolean holds = holders.indexOf(candidate.upstream().id()) == 0;
        return Math.max(0, request.promptTokens() - (holds ? request.sharedTokens() : 0));
    }

    /**
     * Estimates the time until the first event of a generation at an engine of normal speed without cached parts.
     *
     * @param promptTokens the tokens of the prompt and of those that are read before it
     * @param running the requests at the engine
     * @return the time in milliseconds
     */
    public static double expectedFirstEventMs(long promptTokens, int running) {
        return FIRST_EVENT_MS + promptTokens / PROMPT_TOKENS_PER_MS + RUNNING_REQUEST_MS * running;
    }

    /**
     * Estimates the time until the first byte of an answer.
     *
     * @param candidate the upstream
     * @param request the request
     * @param holders the identities of the engines that are expected to hold the shared parts, the first one first
     * @return the time in milliseconds; only the order between candidates is meaningful for suspect upstreams
     */
    static double cost(Candidate candidate, PlacementRequest request, List<String> holders) {
        double base = candidate.suspect() ? SUSPECT_MS : 0;
        base += candidate.sameZone() ? 0 : OTHER_ZONE_MS;
        int running = candidate.inFlight() + candidate.reportedOthers();
        if (!request.modelRequest()) {
            int slots = Math.max(1, candidate.upstream().slots());
            double excessMs = Math.max(0, candidate.averageAnswerMs() - PLAIN_CALL_MS);
            return base + PLAIN_CALL_MS * running / slots + excessMs;
        }
        int rank = holders.indexOf(candidate.upstream().id());
        double factor = REREAD_FACTOR_BY_RANK[rank < 0 ? REREAD_FACTOR_BY_RANK.length - 1 : rank];
        double rereadMs = factor * request.sharedTokens() / PROMPT_TOKENS_PER_MS;
        double expectedMs = expectedFirstEventMs(candidate.pendingTokensToRead() + request.promptTokens(), running);
        double slowness = Math.max(1, Math.min(MAX_SLOWNESS, candidate.slowness()));
        return base + rereadMs + expectedMs * slowness;
    }

    private static List<String> holders(List<Candidate> candidates, String key) {
        if (key.isEmpty()) {
            return List.of();
        }
        return candidates.stream()
                .filter(each -> !each.suspect())
                .map(each -> each.upstream().id())
                .sorted(Comparator.comparingInt(id -> RendezvousHash.weight(id, key)))
                .limit(REREAD_FACTOR_BY_RANK.length - 1)
                .toList();
    }
}
