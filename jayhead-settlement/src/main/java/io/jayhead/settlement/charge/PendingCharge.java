package io.jayhead.settlement.charge;

/**
 * Holds a charge that is not committed yet.
 *
 * @param correlation the identifier that replies to the sender carry
 * @param entry the charge
 * @param held whether the sender was already answered with {@link ChargeOutcome.Held}
 */
public record PendingCharge(String correlation, ChargeEntry entry, boolean held) {

    PendingCharge asHeld() {
        return new PendingCharge(correlation, entry, true);
    }
}
