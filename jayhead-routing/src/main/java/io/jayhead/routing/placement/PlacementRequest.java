package io.jayhead.routing.placement;

import java.util.Set;

/**
 * What placement needs to know of a request.
 *
 * @param modelRequest whether it is a generation by a model engine
 * @param promptTokens the tokens of the prompt
 * @param sharedTokens the tokens of the leading prompt parts that other requests share
 * @param affinityKey the shared prompt parts that decide which engines hold them; empty if there are none
 * @param excluded the incarnations that were already tried
 * @param salt a random number that breaks ties
 */
public record PlacementRequest(
        boolean modelRequest, int promptTokens, int sharedTokens, String affinityKey, Set<String> excluded, int salt) {

    /** Copies the set. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }
}
