package io.jayhead.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the router tells an upstream about a request.
 *
 * @param upstreamId the identity that the upstream must have
 * @param deadlineMs the time that is left
 * @param organisation the organisation of the caller; empty on open routes
 * @param priority the rank at a model engine, 0 to 9; empty for the default
 * @param resumeAfter the last event that the caller has; empty for a new stream
 */
public record ForwardFacts(
        String upstreamId,
        long deadlineMs,
        Optional<String> organisation,
        OptionalInt priority,
        Optional<String> resumeAfter) {}
