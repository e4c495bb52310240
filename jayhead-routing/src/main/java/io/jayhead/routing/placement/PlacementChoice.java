package io.jayhead.routing.placement;

/**
 * The upstream that was chosen for a request.
 *
 * @param candidate the upstream
 * @param tokensToRead the tokens of the prompt that it is expected to read; shared parts that it holds are left out
 */
public record PlacementChoice(Candidate candidate, int tokensToRead) {}
