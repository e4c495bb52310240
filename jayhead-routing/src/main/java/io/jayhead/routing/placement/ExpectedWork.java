package io.jayhead.routing.placement;

/**
 * Describes what lay before an engine when a generation was sent to it.
 *
 * @param tokensToRead the prompt tokens that the engine still had to read for this router, with those of the generation
 * @param requests the requests at the engine, with the generation
 * @param firstEventMs the expected time to the first event in milliseconds, at an engine of normal speed
 */
public record ExpectedWork(long tokensToRead, double requests, double firstEventMs) {}
