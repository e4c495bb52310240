package io.jayhead.admission.budget;

/** Lists the reasons for which a ledger refuses a change. */
public enum LedgerRefusal {
    /**
     * The amount is negative, would overflow, or exceeds the grant from which it is returned; a top-up may not be 0.
     */
    INVALID_AMOUNT,
    /** The top-up id was already used with a different amount. */
    TOP_UP_REUSED,
    /** The unallocated tokens do not cover the grant. */
    NOT_COVERED,
    /** The incarnation has no entry: it was never opened, or it was closed. */
    NO_ENTRY,
    /** The incarnation already has an entry. */
    ENTRY_EXISTS,
    /** The entry of the incarnation was closed and cannot be opened again. */
    ENTRY_CLOSED,
    /** The entry is being reclaimed. */
    RECLAIMING,
    /** The entry is not being reclaimed with this nonce. */
    NONCE_MISMATCH,
    /**
     * The consumed or borrowed tokens are fewer than last reported, the lent tokens are negative, or the amounts
     * exceed the grant.
     */
    INCONSISTENT_REPORT
}
