package io.jayhead.routing.placement;

/**
 * Describes the work at an engine when a generation was sent to it.
 *
 * @param tokensToRead the prompt tokens that the engine still had to read for this router, including those of the
 *     generation
 * @param requests the estimated requests of all routers at the engine, including the generation
 * @param firstEventMs the expected time to the first event in milliseconds, at an engine of normal speed
 */
public record ExpectedWork(long tokensToRead, double requests, double firstEventMs) {}
