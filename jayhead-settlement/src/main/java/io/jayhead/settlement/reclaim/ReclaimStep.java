package io.jayhead.settlement.reclaim;

/** Names the step of a reclaim that is in progress, or its final step. */
public enum ReclaimStep {
    /** The entry is being marked. */
    MARKING,
    /** The fencing token of the holder is being raised at the upstreams. */
    FENCING,
    /** The cancelled requests are being charged. */
    CHARGING,
    /** Pending charges of the holder are being committed. */
    COMMITTING,
    /** The charges of the holder are being totalled. */
    COUNTING,
    /** The entry is being closed. */
    CLOSING,
    /** The entry is closed; the reclaim has ended. */
    CLOSED,
    /** The reclaim ended without closing the entry; the uncharged part of the grant stays counted as spent. */
    WRITTEN_OFF
}
