package io.jayhead.admission.budget;

/** Tells whether the router that holds a {@link GrantEntry} in the ledger of a budget may still spend its grant. */
public enum EntryState {
    /** The holder may spend its grant and receive more. */
    OPEN,
    /** Another router is reclaiming the grant; the holder may only close the entry. */
    RECLAIMING
}
