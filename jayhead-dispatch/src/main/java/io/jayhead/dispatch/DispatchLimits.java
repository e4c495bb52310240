package io.jayhead.dispatch;

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
}
