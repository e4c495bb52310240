package io.jayhead.settlement.reclaim;

/** Names the step that a reclaim waits for. */
public enum ReclaimStep {
    /** The entry is being marked. */
    MARKING,
    /** The fencing token is being raised at the upstreams. */
    FENCING,
    /** The cancelled requests are being charged. */
    CHARGING,
    /** Pending charges of the holder are being committed. */
    COMMITTING,
    /** The charges are being counted. */
    COUNTING,
    /** The entry is being closed. */
    CLOSING,
    /** The entry is closed. */
    CLOSED,
    /** The reclaim ended without closing the entry. */
    WRITTEN_OFF
}
