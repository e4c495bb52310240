package io.jayhead.settlement.charge;

/**
 * Holds the first charge for a key.
 *
 * @param entry the charge
 * @param slot the slot that it was committed in
 */
public record CommittedCharge(ChargeEntry entry, long slot) {}
