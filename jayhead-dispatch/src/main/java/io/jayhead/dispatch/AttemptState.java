package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;

/**
 * Describes the last attempt that was sent.
 *
 * @param number the number, from 1
 * @param upstream the upstream
 * @param run the number of the attempt that started the run which this attempt continues
 * @param sentMs when it was sent
 * @param lastProgressMs when the last token arrived, or when it was sent
 * @param tokenSeen whether a token has arrived
 * @param sawOutput whether the upstream has shown that the run exists
 */
record AttemptState(
        int number,
        UpstreamName upstream,
        int run,
        long sentMs,
        long lastProgressMs,
        boolean tokenSeen,
        boolean sawOutput) {

    static AttemptState of(int number, UpstreamName upstream, int run, long nowMs) {
        return new AttemptState(number, upstream, run, nowMs, nowMs, false, false);
    }

    AttemptState withToken(long nowMs) {
        return new AttemptState(number, upstream, run, sentMs, Math.max(lastProgressMs, nowMs), true, true);
    }

    AttemptState withOutput() {
        return new AttemptState(number, upstream, run, sentMs, lastProgressMs, tokenSeen, true);
    }

    boolean isResume() {
        return run != number;
    }

    boolean isSilent(long nowMs, DispatchLimits limits) {
        long limitMs = tokenSeen ? limits.betweenTokensMs() : limits.firstByteMs();
        return nowMs - lastProgressMs > limitMs;
    }
}
