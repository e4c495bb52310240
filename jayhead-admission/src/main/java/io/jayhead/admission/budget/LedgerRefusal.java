package io.jayhead.admission.budget;

/** Names the reasons for which a ledger refuses a change. */
public enum LedgerRefusal {
    /** The amount is negative or too large to count. */
    INVALID_AMOUNT,
    /** The top-up id was used with another amount. */
    TOP_UP_REUSED,
    /** The unallocated tokens do not cover the grant. */
    NOT_COVERED,
    /** The incarnation has no open entry: it was never opened, or it was closed. */
    NO_ENTRY,
    /** The incarnation already has an entry. */
    ENTRY_EXISTS,
    /** The entry of the incarnation was closed; it cannot be opened again. */
    ENTRY_CLOSED,
    /** The entry is being reclaimed. */
    RECLAIMING,
    /** The entry is not being reclaimed with this nonce. */
    NONCE_MISMATCH,
    /** The reported amounts are below earlier ones or above what the entry allows. */
    INCONSISTENT_REPORT
}
