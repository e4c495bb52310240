package io.jayhead.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The values of the headers of an upstream's answer.
 *
 * @param requestId the id of the request that is answered; empty if not named
 * @param sealed whether the answer carries the seal of the upstream, its signature
 * @param provenNotRun whether the answer proves that the upstream did not run the request
 * @param encoded whether the body has a content encoding, such as compression
 * @param load the number of running and waiting requests at the upstream; empty if not reported
 * @param idleTimeoutMs the milliseconds for which the upstream keeps an idle connection open; empty if not reported
 */
public record AnswerMetadata(
        Optional<String> requestId,
        boolean sealed,
        boolean provenNotRun,
        boolean encoded,
        OptionalInt load,
        OptionalLong idleTimeoutMs) {}
