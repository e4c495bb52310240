package io.jayhead.settlement.charge;

/**
 * Summarises the slots below a position, so that a new owner need not read them.
 *
 * @param ledger the sums and the recent keys
 * @param deletedBelow the slots below were ordered to be deleted
 */
public record ChargeCheckpoint(ChargeLedger ledger, long deletedBelow) {

    /**
     * Tells whether this checkpoint may replace a stored one; a delayed writer must not move it back.
     *
     * @param stored the checkpoint in the platform
     * @return true if this one contains more slots
     */
    public boolean supersedes(ChargeCheckpoint stored) {
        return ledger.nextSlot() > stored.ledger().nextSlot();
    }
}
