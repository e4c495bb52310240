package io.jayhead.settlement.charge;

import io.jayhead.model.Checks;
import java.util.List;

/**
 * Holds the content of one slot of the charge log.
 *
 * @param nonce identifies the write, so that the writer can recognise its batch after a lost reply
 * @param committedMinute the time of the write in minutes since the epoch; decides when keys leave the duplicate window
 * @param entries the charges, at most one for each request key
 */
public record ChargeBatch(String nonce, long committedMinute, List<ChargeEntry> entries) {

    /** Checks that the nonce is not blank and copies the list. */
    public ChargeBatch {
        Checks.requireNotBlank(nonce, "nonce");
        entries = List.copyOf(entries);
    }
}
