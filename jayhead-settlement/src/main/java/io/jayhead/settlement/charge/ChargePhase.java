package io.jayhead.settlement.charge;

import java.util.List;

/** Represents the platform call that the writer of a partition waits for. */
sealed interface ChargePhase {

    /** Returns the phase with all charges of its attempt marked as held. */
    default ChargePhase withAllHeld() {
        return this;
    }

    /**
     * Waits for the checkpoint.
     *
     * @param issuedAtMs when the read was issued, in milliseconds since the epoch
     */
    record LoadingCheckpoint(long issuedAtMs) implements ChargePhase {}

    /** Reads the slots after the checkpoint up to the first absent one. */
    record Recovering() implements ChargePhase {}

    /** Knows the end of the log and waits for charges. */
    record Idle() implements ChargePhase {}

    /**
     * Writes a batch to the next slot.
     *
     * @param attempt the batch being written, with its charges
     * @param uncertain whether an earlier write of the same batch was not answered and may have taken effect
     */
    record Writing(Attempt attempt, boolean uncertain) implements ChargePhase {
        @Override
        public ChargePhase withAllHeld() {
            return new Writing(attempt.withAllHeld(), uncertain);
        }
    }

    /**
     * Reads the slot after a conflict or an unanswered write, to see whose batch it contains.
     *
     * @param attempt the batch that was written, with its charges
     * @param conflict whether the platform answered that the slot exists
     */
    record ReadingBack(Attempt attempt, boolean conflict) implements ChargePhase {
        @Override
        public ChargePhase withAllHeld() {
            return new ReadingBack(attempt.withAllHeld(), conflict);
        }
    }

    /**
     * Reads the checkpoint after a write at a position that was last confirmed long ago, to see whether the slot had
     * been deleted before.
     *
     * @param attempt the batch that was written, with its charges
     * @param issuedAtMs when the read was issued, in milliseconds since the epoch
     */
    record Verifying(Attempt attempt, long issuedAtMs) implements ChargePhase {
        @Override
        public ChargePhase withAllHeld() {
            return new Verifying(attempt.withAllHeld(), issuedAtMs);
        }
    }

    /**
     * Holds a batch to write, with the charges whose senders wait for it.
     *
     * @param slot the slot to write
     * @param batch the batch; repeated writes carry the same nonce
     * @param charges the charges, including those whose key the batch already contains
     * @param startedAtMs when the first write was issued, in milliseconds since the epoch
     */
    record Attempt(long slot, ChargeBatch batch, List<PendingCharge> charges, long startedAtMs) {
        Attempt withAllHeld() {
            List<PendingCharge> held =
                    charges.stream().map(PendingCharge::asHeld).toList();
            return new Attempt(slot, batch, held, startedAtMs);
        }
    }
}
