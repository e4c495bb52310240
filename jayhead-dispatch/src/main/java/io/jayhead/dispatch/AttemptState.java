package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;

/**
 * Holds the state of the attempt that was sent last.
 *
 * @param number the number of the attempt, from 1
 * @param upstream the upstream
 * @param run the number of the attempt that started the run; differs from the number if this attempt resumes a run
 * @param sentMs when the attempt was sent
 * @param lastProgressMs when the last token arrived, or when the attempt was sent if none has arrived
 * @param tokenSeen whether a token has arrived
 * @param outputSeen whether the upstream has shown that the run exists, by its start, a token or its end
 */
record AttemptState(
        int number,
        UpstreamName upstream,
        int run,
        long sentMs,
        long lastProgressMs,
        boolean tokenSeen,
        boolean outputSeen) {

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
