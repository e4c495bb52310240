package io.jayhead.settlement.charge;

/** Tells the sender of a charge what became of it. */
public sealed interface ChargeOutcome
        permits ChargeOutcome.Committed, ChargeOutcome.Duplicate, ChargeOutcome.Held, ChargeOutcome.Unresolved {

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

    /**
     * The writer was cut off or suspended in the middle of a write for so long that the log no longer shows whether
     * it took effect; the charge is not written again, because that could bill it twice.
     *
     * @param slot the slot that may have contained it
     */
    record Unresolved(long slot) implements ChargeOutcome {}
}
