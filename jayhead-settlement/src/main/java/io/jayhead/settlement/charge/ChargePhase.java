package io.jayhead.settlement.charge;

import java.util.List;

/** Says which call to the platform a partition waits for. */
sealed interface ChargePhase {

    /** Returns the phase with all its charges marked as held. */
    default ChargePhase allHeld() {
        return this;
    }

    /**
     * Waits for the checkpoint.
     *
     * @param issuedAtMs when the read was ordered
     */
    record LoadingCheckpoint(long issuedAtMs) implements ChargePhase {}

    /** Reads slots up to the first absent one. */
    record Recovering() implements ChargePhase {}

    /** Knows the end of the log and writes nothing. */
    record Idle() implements ChargePhase {}

    /**
     * Writes a batch to the next slot.
     *
     * @param uncertain whether an earlier write of the same batch went unanswered
     */
    record Writing(Attempt attempt, boolean uncertain) implements ChargePhase {
        @Override
        public ChargePhase allHeld() {
            return new Writing(attempt.allHeld(), uncertain);
        }
    }

    /**
     * Reads the slot after a conflict or an unanswered write, to see whose batch it contains.
     *
     * @param conflict whether the platform answered that the slot exists
     */
    record ReadingBack(Attempt attempt, boolean conflict) implements ChargePhase {
        @Override
        public ChargePhase allHeld() {
            return new ReadingBack(attempt.allHeld(), conflict);
        }
    }

    /**
     * Reads the checkpoint after a write at a position that was not confirmed for long.
     *
     * @param issuedAtMs when the read was ordered
     */
    record Verifying(Attempt attempt, long issuedAtMs) implements ChargePhase {
        @Override
        public ChargePhase allHeld() {
            return new Verifying(attempt.allHeld(), issuedAtMs);
        }
    }

    /**
     * A batch with the charges that wait for it.
     *
     * @param slot the slot
     * @param batch the batch, always written with the same nonce
     * @param charges the charges, including duplicates of keys in the batch
     * @param startedAtMs when its write was first ordered
     */
    record Attempt(long slot, ChargeBatch batch, List<PendingCharge> charges, long startedAtMs) {
        Attempt allHeld() {
            List<PendingCharge> held =
                    charges.stream().map(PendingCharge::asHeld).toList();
            return new Attempt(slot, batch, held, startedAtMs);
        }
    }
}
