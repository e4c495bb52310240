package io.jayhead.settlement.charge;

/** Reports the outcome of a charge to its sender. */
public sealed interface ChargeOutcome
        permits ChargeOutcome.Committed, ChargeOutcome.Duplicate, ChargeOutcome.Held, ChargeOutcome.Unresolved {

    /**
     * The charge is committed to the log.
     *
     * @param slot the slot that contains it
     */
    record Committed(long slot) implements ChargeOutcome {}

    /**
     * The key was charged before; only the first charge counts.
     *
     * @param first the first charge
     */
    record Duplicate(ChargeEntry first) implements ChargeOutcome {}

    /**
     * The platform is down and the charge stays pending. Peers should hold a copy of it; a further reply follows when
     * it is committed.
     */
    record Held() implements ChargeOutcome {}

    /**
     * The writer was disconnected or suspended during a write for so long that the log no longer shows whether the
     * write took effect. The charge is not written again, because that could bill it twice.
     *
     * @param slot the slot that may have contained the charge
     */
    record Unresolved(long slot) implements ChargeOutcome {}
}
