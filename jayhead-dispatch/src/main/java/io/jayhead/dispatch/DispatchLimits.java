package io.jayhead.dispatch;

import io.jayhead.model.RequestKind;
import io.jayhead.model.RetryRule;

/**
 * Bounds one request.
 *
 * @param firstByteMs the longest time from sending to the first token or answer
 * @param betweenTokensMs the longest time between two tokens
 * @param cancelWaitMs the longest wait for the usage that a cancelled upstream reports
 * @param maxAttempts the most attempts, the first one included
 * @param deadlineMs when the request must have ended
 * @param reservedPromptTokens the prompt tokens reserved in the budget
 * @param maxOutputTokens the output tokens reserved in the budget
 */
public record DispatchLimits(
        long firstByteMs,
        long betweenTokensMs,
        long cancelWaitMs,
        int maxAttempts,
        long deadlineMs,
        long reservedPromptTokens,
        long maxOutputTokens) {

    /** The most attempts of one request. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    /** Attempts that are not repeated may use half of the deadline; the rest is left for the answer to the caller. */
    private static final int SINGLE_ATTEMPT_SHARE = 2;

    private static final long DEFAULT_FIRST_BYTE_MS = 5_000;
    private static final long DEFAULT_BETWEEN_TOKENS_MS = 2_000;
    private static final long DEFAULT_CANCEL_WAIT_MS = 1_000;

    /**
     * Returns the default limits.
     *
     * @param deadlineMs when the request must have ended
     * @param reservedPromptTokens the prompt tokens reserved in the budget
     * @param maxOutputTokens the output tokens reserved in the budget
     * @return the limits
     */
    public static DispatchLimits of(long deadlineMs, long reservedPromptTokens, long maxOutputTokens) {
        return new DispatchLimits(
                DEFAULT_FIRST_BYTE_MS,
                DEFAULT_BETWEEN_TOKENS_MS,
                DEFAULT_CANCEL_WAIT_MS,
                DEFAULT_MAX_ATTEMPTS,
                deadlineMs,
                reservedPromptTokens,
                maxOutputTokens);
    }

    /**
     * Returns the limits of a kind of request. The first byte may take as long as the request may queue, since an
     * engine sends nothing while a request waits in its queue, but each attempt must leave time for the others.
     *
     * @param kind the kind
     * @param startMs when the request arrived
     * @param reservedPromptTokens the prompt tokens reserved in the budget
     * @param maxOutputTokens the output tokens reserved in the budget
     * @return the limits
     */
    public static DispatchLimits of(RequestKind kind, long startMs, long reservedPromptTokens, long maxOutputTokens) {
        int shares = kind.retryRule() == RetryRule.NEVER ? SINGLE_ATTEMPT_SHARE : DEFAULT_MAX_ATTEMPTS;
        long firstByteMs = Math.min(kind.deadlineMs() / shares, DEFAULT_FIRST_BYTE_MS + kind.queueLimitMs());
        return new DispatchLimits(
                firstByteMs,
                DEFAULT_BETWEEN_TOKENS_MS,
                DEFAULT_CANCEL_WAIT_MS,
                DEFAULT_MAX_ATTEMPTS,
                startMs + kind.deadlineMs(),
                reservedPromptTokens,
                maxOutputTokens);
    }

    /**
     * Returns these limits with upper bounds on the waits.
     *
     * @param maxFirstByteMs the bound on the wait for the first byte
     * @param maxBetweenTokensMs the bound on the wait between two tokens
     * @return the bounded limits
     */
    public DispatchLimits within(long maxFirstByteMs, long maxBetweenTokensMs) {
        return new DispatchLimits(
                Math.min(firstByteMs, maxFirstByteMs),
                Math.min(betweenTokensMs, maxBetweenTokensMs),
                cancelWaitMs,
                maxAttempts,
                deadlineMs,
                reservedPromptTokens,
                maxOutputTokens);
    }
}
