package io.jayhead.settlement.charge;

/**
 * Holds the first committed charge for a request key; only this charge counts.
 *
 * @param entry the charge
 * @param slot the slot that contains it
 */
public record CommittedCharge(ChargeEntry entry, long slot) {}
