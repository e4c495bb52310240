package io.jayhead.settlement.charge;

/**
 * Holds a charge that is not committed yet.
 *
 * @param correlation identifies the sender's request
 * @param entry the charge
 * @param held whether the sender was told that the platform is down
 */
public record PendingCharge(String correlation, ChargeEntry entry, boolean held) {

    PendingCharge asHeld() {
        return new PendingCharge(correlation, entry, true);
    }
}
