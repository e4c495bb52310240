package io.jayhead.routing.placement;

import java.util.Set;

/**
 * Describes a request for which an upstream must be chosen.
 *
 * @param modelRequest whether the request is a generation by a model engine, as opposed to a plain call
 * @param promptTokens the number of tokens of the prompt; 0 for plain calls
 * @param maxOutputTokens the most tokens that the generation may produce; 0 for plain calls
 * @param engineMemoryTokens the tokens that one engine of the service has memory for; 0 if unknown
 * @param sharedTokens the number of tokens of the leading prompt parts that other requests share
 * @param affinityKey the key of the shared prompt parts, which determines the preferred engines; empty if no parts are
 *     shared
 * @param partHolders the upstream incarnations that this router sent the shared prompt parts to recently
 * @param excluded the upstream incarnations that must not be chosen, because earlier attempts used them
 * @param salt a random number that breaks ties between equally good upstreams
 */
public record PlacementRequest(
        boolean modelRequest,
        int promptTokens,
        int maxOutputTokens,
        long engineMemoryTokens,
        int sharedTokens,
        String affinityKey,
        Set<String> partHolders,
        Set<String> excluded,
        int salt) {

    /** Makes defensive copies of the sets. */
    public PlacementRequest {
        partHolders = Set.copyOf(partHolders);
        excluded = Set.copyOf(excluded);
    }
}
