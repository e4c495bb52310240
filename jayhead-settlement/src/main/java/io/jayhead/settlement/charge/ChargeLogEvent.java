package io.jayhead.settlement.charge;

import java.util.Optional;

/**
 * Represents an input of the state machine of a partition: a charge, the result of a platform call or the passage of
 * time.
 */
public sealed interface ChargeLogEvent {

    /**
     * Returns the time of the event and a nonce for a write that it may start.
     *
     * @return the stamp
     */
    EventStamp stamp();

    /**
     * A charge arrived.
     *
     * @param correlation the identifier that replies to the sender carry
     * @param entry the charge
     */
    record Append(EventStamp stamp, String correlation, ChargeEntry entry) implements ChargeLogEvent {}

    /** The conditional create of a slot succeeded. */
    record SlotWritten(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The conditional create of a slot failed, because the slot exists. */
    record SlotConflict(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The reply to the write of a slot was lost, so the write may have taken effect. */
    record SlotWriteUnanswered(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The write of a slot certainly had no effect, because the platform is down or refused it for now. */
    record SlotNotWritten(EventStamp stamp, long slot, String reason) implements ChargeLogEvent {}

    /** The read of a slot returned its batch. */
    record SlotRead(EventStamp stamp, long slot, ChargeBatch batch) implements ChargeLogEvent {}

    /** The platform answered that a slot does not exist. */
    record SlotAbsent(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** A slot could not be read, because the platform is down. */
    record SlotUnreadable(EventStamp stamp, long slot, String reason) implements ChargeLogEvent {}

    /**
     * The checkpoint object was read.
     *
     * @param checkpoint the checkpoint, or empty if there is none
     */
    record CheckpointRead(EventStamp stamp, Optional<ChargeCheckpoint> checkpoint) implements ChargeLogEvent {}

    /** The checkpoint could not be read, because the platform is down. */
    record CheckpointUnreadable(EventStamp stamp, String reason) implements ChargeLogEvent {}

    /** A checkpoint of this writer is known to be stored in the platform. */
    record CheckpointStored(EventStamp stamp, ChargeCheckpoint checkpoint) implements ChargeLogEvent {}

    /** Time passed; starts writes and retries that are due. */
    record Tick(EventStamp stamp) implements ChargeLogEvent {}
}
