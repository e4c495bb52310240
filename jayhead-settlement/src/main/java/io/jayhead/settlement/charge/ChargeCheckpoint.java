package io.jayhead.settlement.charge;

/**
 * Summarises the slots below a position, so that a writer that takes over the partition does not have to read them.
 *
 * @param ledger the totals and the recent charges
 * @param deletedBelow the slot below which the deletion of all slots was issued
 */
public record ChargeCheckpoint(ChargeLedger ledger, long deletedBelow) {

    /**
     * Tells whether this checkpoint may replace the stored one. A delayed write must not replace a newer checkpoint.
     *
     * @param stored the checkpoint in the platform
     * @return true if this checkpoint covers more slots
     */
    public boolean supersedes(ChargeCheckpoint stored) {
        return ledger.nextSlot() > stored.ledger().nextSlot();
    }
}
