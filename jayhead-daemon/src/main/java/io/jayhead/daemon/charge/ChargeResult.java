package io.jayhead.daemon.charge;

/** Tells a request what became of its charge. */
public enum ChargeResult {
    /** The charge is in the log and consumes the reservation. */
    COMMITTED,
    /** Another run of the same request was charged first; this one consumes nothing. */
    DUPLICATE,
    /** The platform is down; other routers hold the charge too. */
    HELD,
    /** The charge could be neither written nor held. */
    FAILED
}
