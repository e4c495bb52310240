package io.jayhead.settlement.claim;

/**
 * Holds the parameters of booking claims.
 *
 * @param maxAttempts the most writes of the claim before the booking is refused
 * @param inProgressMs how long after the claim a booking without an outcome counts as still running
 * @param storeWaitMs how long the answer waits for its outcome to be stored
 */
public record ClaimSettings(int maxAttempts, long inProgressMs, long storeWaitMs) {

    /**
     * Returns the settings for normal operation.
     *
     * @return 4 attempts, 10 s (the deadline of a booking), 500 ms
     */
    public static ClaimSettings standard() {
        return new ClaimSettings(4, 10_000, 500);
    }
}
