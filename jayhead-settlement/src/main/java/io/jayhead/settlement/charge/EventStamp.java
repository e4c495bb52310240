package io.jayhead.settlement.charge;

import io.jayhead.model.Checks;

/**
 * Supplies an event with what the state machine may not obtain itself.
 *
 * @param nowMs the time of the event in milliseconds since the epoch; never decreases, even if the VM was suspended
 * @param batchNonce a fresh random nonce, used if the event starts a write
 */
public record EventStamp(long nowMs, String batchNonce) {

    private static final long MS_PER_MINUTE = 60_000;

    /** Checks the nonce. */
    public EventStamp {
        Checks.requireNotBlank(batchNonce, "batchNonce");
    }

    long minute() {
        return nowMs / MS_PER_MINUTE;
    }
}
