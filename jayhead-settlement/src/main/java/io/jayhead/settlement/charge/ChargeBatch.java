package io.jayhead.settlement.charge;

import io.jayhead.model.Checks;
import java.util.List;

/**
 * Holds the content of one slot of the charge log.
 *
 * @param nonce identifies the write, so that its writer recognises it after a lost reply
 * @param committedMinute the minute of the write since the epoch; it decides when keys leave the duplicate window
 * @param entries the charges, at most one for a key
 */
public record ChargeBatch(String nonce, long committedMinute, List<ChargeEntry> entries) {

    /** Checks the nonce and copies the list. */
    public ChargeBatch {
        Checks.requireNotBlank(nonce, "nonce");
        entries = List.copyOf(entries);
    }
}
