package io.jayhead.dispatch;

import io.jayhead.model.RequestKind;
import io.jayhead.model.RetryRule;

/**
 * Holds the time, retry and token limits of one request.
 *
 * @param firstByteMs the maximum time from sending an attempt to its first token or answer
 * @param betweenTokensMs the maximum time between two tokens
 * @param cancelWaitMs the maximum wait for the usage that an upstream reports after a cancellation
 * @param maxAttempts the maximum number of attempts, including the first one
 * @param deadlineMs the time at which the request must have ended
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

    /** The default maximum number of attempts, including the first one. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    /**
     * Deadline divisor for {@link RetryRule#NEVER}: a silent attempt is not repeated, so it may use half of the
     * deadline; the rest is left for the answer to the caller.
     */
    private static final int SINGLE_ATTEMPT_DEADLINE_DIVISOR = 2;

    private static final long DEFAULT_FIRST_BYTE_MS = 5_000;
    private static final long DEFAULT_BETWEEN_TOKENS_MS = 2_000;
    private static final long DEFAULT_CANCEL_WAIT_MS = 1_000;

    /**
     * Creates limits with the default waits.
     *
     * @param deadlineMs the time at which the request must have ended
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
     * Creates the limits for a kind of request. The wait for the first byte includes the time that a request may queue,
     * because an engine sends nothing while a request waits in the queue of the engine. The wait is limited so that
     * every attempt leaves time for the remaining ones.
     *
     * @param kind the kind of request
     * @param startMs when the request arrived
     * @param reservedPromptTokens the prompt tokens reserved in the budget
     * @param maxOutputTokens the output tokens reserved in the budget
     * @return the limits
     */
    public static DispatchLimits of(RequestKind kind, long startMs, long reservedPromptTokens, long maxOutputTokens) {
        int deadlineDivisor =
                kind.retryRule() == RetryRule.NEVER ? SINGLE_ATTEMPT_DEADLINE_DIVISOR : DEFAULT_MAX_ATTEMPTS;
        long firstByteMs = Math.min(kind.deadlineMs() / deadlineDivisor, DEFAULT_FIRST_BYTE_MS + kind.queueLimitMs());
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
     * Returns these limits with the waits lowered to upper bounds.
     *
     * @param maxFirstByteMs the upper bound of the wait for the first byte
     * @param maxBetweenTokensMs the upper bound of the wait between two tokens
     * @return the lowered limits
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
