package io.jayhead.settlement.claim;

/**
 * Holds the parameters of booking claims.
 *
 * @param maxAttempts the maximum number of writes of the claim before the booking is refused
 * @param inProgressMs how long after the claim a booking without an outcome is reported as in progress, in
 *     milliseconds; after that it is reported as may have run
 * @param storeWaitMs how long the answer to the caller waits until the outcome is stored, in milliseconds
 */
public record ClaimSettings(int maxAttempts, long inProgressMs, long storeWaitMs) {

    /**
     * Returns the settings for normal operation.
     *
     * @return 4 attempts, in progress for 10 s (the deadline of a booking), 500 ms wait for the store
     */
    public static ClaimSettings standard() {
        return new ClaimSettings(4, 10_000, 500);
    }
}
