package io.jayhead.routing.placement;

import io.jayhead.model.RendezvousHash;
import java.util.Comparator;
import java.util.List;

/**
 * Tells which engines hold the shared prompt parts of one request, and weighs what it costs to read the parts again
 * elsewhere; immutable.
 *
 * <p>Rendezvous hashing (highest random weight) of the last shared part and the engine orders the engines, so all
 * routers agree on the order without exchanging messages. Once the queue at a preferred engine costs more than reading
 * the parts again, the next one is chosen.
 */
final class PartAffinity {

    /**
     * Factors for the time to read the shared parts, by the rank of the engine in the preference order. The first
     * engine has the parts cached, and the second takes the overflow of the first. On any other engine the prefill
     * benefits no other request and delays the requests that wait there.
     */
    private static final double[] TWO_ENGINE_FACTORS = {0, 1.5, 4};
    /**
     * As above, for services whose load is known: what the first two engines cannot take goes to one engine after the
     * other, in the same order for all routers. The small steps decide between engines of about the same load.
     */
    private static final double[] OVERFLOW_FACTORS = {0, 1.5, 4, 4.2, 4.4, 4.6, 4.8, 5};
    /** The factor for an engine that had the parts, but may have replaced them. */
    private static final double HOLDER_FACTOR = 0.5;

    private final PlacementRequest request;
    private final List<String> preferredIds;
    private final double[] factorByRank;

    private PartAffinity(PlacementRequest request, List<String> preferredIds, double[] factorByRank) {
        this.request = request;
        this.preferredIds = preferredIds;
        this.factorByRank = factorByRank;
    }

    static PartAffinity of(List<PlacementCandidate> candidates, PlacementRequest request, ServiceRates rates) {
        double[] factorByRank = rates.isLearned() ? OVERFLOW_FACTORS : TWO_ENGINE_FACTORS;
        String key = request.affinityKey();
        if (key.isEmpty()) {
            return new PartAffinity(request, List.of(), factorByRank);
        }
        List<String> preferredIds = candidates.stream()
                .filter(candidate -> !candidate.suspect())
                .map(candidate -> Weighted.of(candidate.upstream().id(), key))
                .sorted(Comparator.comparingInt(Weighted::weight))
                .limit(factorByRank.length - 1)
                .map(Weighted::id)
                .toList();
        return new PartAffinity(request, preferredIds, factorByRank);
    }

    /** Returns the factor for the time to read the shared parts at an engine; 0 if it has them cached. */
    double rereadFactor(PlacementCandidate candidate) {
        int rank = preferredIds.indexOf(candidate.upstream().id());
        double factor = factorByRank[rank < 0 ? factorByRank.length - 1 : rank];
        return isKnownHolder(candidate) ? Math.min(HOLDER_FACTOR, factor) : factor;
    }

    /**
     * Returns the tokens that an engine has to read for the request. The most preferred engine is assumed to have the
     * shared parts cached, as all requests that share them prefer it.
     */
    int tokensToRead(PlacementCandidate candidate) {
        boolean cached = preferredIds.indexOf(candidate.upstream().id()) == 0 || isKnownHolder(candidate);
        return Math.max(0, request.promptTokens() - (cached ? request.sharedTokens() : 0));
    }

    /** Returns the tokens that the request adds to the memory of an engine, with the longest output. */
    long memoryTokens(PlacementCandidate candidate) {
        return (long) tokensToRead(candidate) + request.maxOutputTokens();
    }

    private boolean isKnownHolder(PlacementCandidate candidate) {
        return request.partHolders().contains(candidate.upstream().incarnation());
    }

    /** An engine with its weight for a part; the lightest is the most preferred. */
    private record Weighted(String id, int weight) {
        static Weighted of(String id, String key) {
            return new Weighted(id, RendezvousHash.weight(id, key));
        }
    }
}
