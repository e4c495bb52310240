package io.jayhead.admission;

/** Tells how the platform answered the last grant request for a budget. */
public enum PlatformAnswer {
    /** The platform granted tokens, or no grant request has been answered yet. */
    GRANTED,
    /** The unallocated tokens did not cover the requested minimum. */
    REFUSED,
    /** The platform did not answer in time, or the ledger could not be written. */
    UNAVAILABLE
}
