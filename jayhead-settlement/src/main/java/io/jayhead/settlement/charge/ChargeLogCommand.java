package io.jayhead.settlement.charge;

/**
 * Represents a step that the state machine of a partition requests.
 *
 * <p>Each read, and each write of a slot, is answered by exactly one event.
 */
public sealed interface ChargeLogCommand {

    /** Creates a slot unless it exists. */
    record WriteSlot(long slot, ChargeBatch batch) implements ChargeLogCommand {}

    /** Reads a slot. */
    record ReadSlot(long slot) implements ChargeLogCommand {}

    /** Reads the checkpoint. */
    record ReadCheckpoint() implements ChargeLogCommand {}

    /** Replaces the stored checkpoint by a conditional update, only if the new one supersedes it. */
    record WriteCheckpoint(ChargeCheckpoint checkpoint) implements ChargeLogCommand {}

    /**
     * Deletes old slots in ascending order; needs no reply.
     *
     * @param fromSlot the first slot to delete
     * @param untilSlot the first slot to keep
     */
    record DeleteSlots(long fromSlot, long untilSlot) implements ChargeLogCommand {}

    /** Tells a sender the outcome of its charge. */
    record Reply(String correlation, ChargeOutcome outcome) implements ChargeLogCommand {}
}
