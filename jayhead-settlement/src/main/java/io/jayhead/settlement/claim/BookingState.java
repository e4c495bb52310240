package io.jayhead.settlement.claim;

/**
 * Holds the state of one booking at one router; immutable.
 *
 * @param settings the parameters
 * @param claim the record that this attempt claims with
 * @param phase what is waited for
 * @param attempts the writes of the claim so far
 */
public record BookingState(ClaimSettings settings, ClaimRecord claim, ClaimPhase phase, int attempts) {

    /**
     * Tells whether the caller was answered.
     *
     * @return true at the end
     */
    public boolean done() {
        return phase instanceof ClaimPhase.Done;
    }

    BookingState withPhase(ClaimPhase next) {
        return new BookingState(settings, claim, next, attempts);
    }

    BookingState withAttempt() {
        return new BookingState(settings, claim, new ClaimPhase.Writing(), attempts + 1);
    }
}
