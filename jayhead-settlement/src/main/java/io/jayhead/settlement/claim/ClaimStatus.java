package io.jayhead.settlement.claim;

/** Describes the state of a claimed booking. */
public enum ClaimStatus {
    /** The booking was sent or is about to be sent; its outcome is not stored. */
    CLAIMED,
    /** The booking ran and its answer is stored. */
    RAN,
    /** The booking certainly did not run; a later request may retake the claim. */
    RELEASED
}
