package io.jayhead.gateway.exchange;

import io.jayhead.gateway.upstream.UpstreamHandle;

/**
 * The upstream that was selected for an attempt.
 *
 * @param upstream the upstream
 * @param tokensToRead the prompt tokens that it is expected to read, without those that it has cached
 * @param memoryTokens the tokens that the request takes at most in the memory of the upstream, without the cached ones
 */
record SelectedUpstream(UpstreamHandle upstream, int tokensToRead, long memoryTokens) {}
