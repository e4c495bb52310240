package io.jayhead.admission;

/** Tells how the platform answered the last ask for a grant. */
public enum PlatformAnswer {
    /** It granted tokens or was not asked. */
    GRANTED,
    /** The unallocated tokens did not cover the minimum. */
    REFUSED,
    /** It did not answer. */
    UNAVAILABLE
}
