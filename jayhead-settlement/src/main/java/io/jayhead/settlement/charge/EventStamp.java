package io.jayhead.settlement.charge;

import io.jayhead.model.Checks;

/**
 * Supplies the time and a nonce to the state machine, which is deterministic and must not obtain them itself.
 *
 * @param nowMs the time of the event in milliseconds since the epoch; never decreases, even if the VM was suspended
 * @param batchNonce a new random nonce, used if the event starts a write
 */
public record EventStamp(long nowMs, String batchNonce) {

    private static final long MS_PER_MINUTE = 60_000;

    /** Checks that the nonce is not blank. */
    public EventStamp {
        Checks.requireNotBlank(batchNonce, "batchNonce");
    }

    long minute() {
        return nowMs / MS_PER_MINUTE;
    }
}
