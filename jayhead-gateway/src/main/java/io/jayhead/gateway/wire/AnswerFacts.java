package io.jayhead.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the headers of an upstream's answer say.
 *
 * @param requestId the request that is answered; empty if the answer does not say
 * @param sealed whether the upstream signed the answer
 * @param provenNotRun whether the upstream says that it did not run the request
 * @param encoded whether the body is not the upstream's plain body
 * @param load the requests at the upstream, running and waiting; empty if not reported
 * @param idleTimeoutMs how long the upstream keeps the connection open without a request; empty if not reported
 */
public record AnswerFacts(
        Optional<String> requestId,
        boolean sealed,
        boolean provenNotRun,
        boolean encoded,
        OptionalInt load,
        OptionalLong idleTimeoutMs) {}
