package io.jayhead.settlement.claim;

/** Says what is known of a claimed booking. */
public enum ClaimStatus {
    /** The booking was or will be sent; its outcome is not stored. */
    CLAIMED,
    /** The booking ran and its answer is stored. */
    RAN,
    /** The booking certainly did not run; the claim may be taken again. */
    RELEASED
}
