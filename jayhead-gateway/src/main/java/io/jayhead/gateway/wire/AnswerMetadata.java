package io.jayhead.gateway.wire;

import io.jayhead.routing.placement.ReportedLoad;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The values of the headers of an upstream's answer.
 *
 * @param requestId the id of the request that is answered; empty if not named
 * @param sealed whether the answer carries the seal of the upstream, its signature
 * @param provenNotRun whether the answer proves that the upstream did not run the request
 * @param encoded whether the body has a content encoding, such as compression
 * @param load the load that the upstream reports, without figures if it reports none
 * @param idleTimeoutMs the milliseconds for which the upstream keeps an idle connection open; empty if not reported
 * @param notice what the upstream says about the requests that it takes from now on
 */
public record AnswerMetadata(
        Optional<String> requestId,
        boolean sealed,
        boolean provenNotRun,
        boolean encoded,
        ReportedLoad load,
        OptionalLong idleTimeoutMs,
        UpstreamNotice notice) {}
