package io.jayhead.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The values of the headers that the router adds to a request to an upstream.
 *
 * @param upstreamId the id that the upstream must have to accept the request
 * @param deadlineMs the milliseconds that are left to answer the request
 * @param organisation the name of the organisation of the caller; empty if the request needs no key
 * @param priority the rank at a model engine, from 0, the most urgent, to 9; empty for the default
 * @param resumeAfter the id of the last event that the caller has received; empty for a new stream
 */
public record ForwardMetadata(
        String upstreamId,
        long deadlineMs,
        Optional<String> organisation,
        OptionalInt priority,
        Optional<String> resumeAfter) {}
