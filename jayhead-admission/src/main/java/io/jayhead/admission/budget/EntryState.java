package io.jayhead.admission.budget;

/** Tells whether the holder of an entry may still spend its grant. */
public enum EntryState {
    /** The holder may spend its grant and receive more. */
    OPEN,
    /** Another router is reclaiming the grant; the holder may only close the entry. */
    RECLAIMING
}
