package io.jayhead.gateway.budget;

/** The answer to a wish for tokens. */
public enum ReservationResult {
    /** The tokens are reserved. */
    RESERVED,
    /** The budget cannot cover them. */
    EXHAUSTED,
    /** The ledger did not answer in time. */
    UNAVAILABLE
}
