package io.jayhead.routing.placement;

/**
 * Holds the upstream chosen for a request.
 *
 * @param candidate the chosen upstream
 * @param tokensToRead the prompt tokens that the upstream is expected to read, without the shared parts that it has
 *     cached
 * @param memoryTokens the tokens that the request takes at most in the memory of the upstream, without those parts
 */
public record PlacementChoice(PlacementCandidate candidate, int tokensToRead, long memoryTokens) {}
