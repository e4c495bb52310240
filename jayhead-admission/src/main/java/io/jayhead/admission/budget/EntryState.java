package io.jayhead.admission.budget;

/** Tells whether the holder of an entry may still change it. */
public enum EntryState {
    /** The holder may spend and may receive more. */
    OPEN,
    /** Another router is taking the grant back; the holder may only close the entry. */
    RECLAIMING
}
