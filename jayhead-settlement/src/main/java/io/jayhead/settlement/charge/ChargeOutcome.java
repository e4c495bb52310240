package io.jayhead.settlement.charge;

/** Tells the sender of a charge what became of it. */
public sealed interface ChargeOutcome permits ChargeOutcome.Committed, ChargeOutcome.Duplicate, ChargeOutcome.Held {

    /**
     * The charge is in the log.
     *
     * @param slot the slot that contains it
     */
    record Committed(long slot) implements ChargeOutcome {}

    /**
     * The key was charged before; the first charge stands.
     *
     * @param first the first charge
     */
    record Duplicate(ChargeEntry first) implements ChargeOutcome {}

    /**
     * The platform is down; the charge stays pending, peers should hold it, and a further reply follows when it is
     * committed.
     */
    record Held() implements ChargeOutcome {}
}
