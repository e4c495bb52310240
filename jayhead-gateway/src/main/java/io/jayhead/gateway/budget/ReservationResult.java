package io.jayhead.gateway.budget;

/** The result of a reservation of prepaid tokens. */
public enum ReservationResult {
    /** The tokens are reserved. */
    RESERVED,
    /** The budget cannot cover the tokens. */
    EXHAUSTED,
    /** The ledger did not answer in time, so the tokens could not be reserved. */
    UNAVAILABLE
}
