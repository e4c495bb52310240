package io.jayhead.settlement.claim;

/**
 * Holds the state of a booking at one router; immutable.
 *
 * @param settings the parameters
 * @param claim the claim record of this attempt
 * @param phase the phase, which determines the events that the booking waits for
 * @param attempts the number of writes of the claim so far
 */
public record BookingState(ClaimSettings settings, ClaimRecord claim, ClaimPhase phase, int attempts) {

    /**
     * Tells whether the caller was answered.
     *
     * @return true once the answer was issued; the booking ignores all later events
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
