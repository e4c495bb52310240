package io.jayhead.gateway.exchange;

import io.jayhead.gateway.upstream.UpstreamHandle;

/**
 * The upstream that was selected for an attempt.
 *
 * @param upstream the upstream
 * @param tokensToRead the prompt tokens that it is expected to read, without those that it has cached
 */
record SelectedUpstream(UpstreamHandle upstream, int tokensToRead) {}
