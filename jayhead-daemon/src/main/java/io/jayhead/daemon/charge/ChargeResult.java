package io.jayhead.daemon.charge;

/** Tells a request how the commit of its charge ended. */
public enum ChargeResult {
    /** The charge is in the charge log and consumes tokens of the reservation. */
    COMMITTED,
    /** Another run of the same request was charged first; this charge consumes no tokens. */
    DUPLICATE,
    /** The charge is not in the log yet, as a rule because the platform is down; other routers hold it too. */
    HELD,
    /** The charge could be neither written in time nor handed to enough peers. */
    FAILED
}
