package io.jayhead.settlement.charge;

import java.util.Optional;

/** Reports something to the state machine of a partition. */
public sealed interface ChargeLogEvent {

    /**
     * Returns the time and a nonce.
     *
     * @return the stamp
     */
    EventStamp stamp();

    /**
     * A charge arrived.
     *
     * @param correlation identifies the sender's request in replies
     * @param entry the charge
     */
    record Append(EventStamp stamp, String correlation, ChargeEntry entry) implements ChargeLogEvent {}

    /** The conditional create of a slot succeeded. */
    record SlotWritten(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The slot existed already. */
    record SlotConflict(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The reply to the write of a slot was lost. */
    record SlotUnknown(EventStamp stamp, long slot) implements ChargeLogEvent {}

    /** The write of a slot certainly had no effect, because the platform is down or refused it for now. */
    record SlotNotWritten(EventStamp stamp, long slot, String reason) implements ChargeLogEvent {}

    /** A slot was read. */
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

    /** A checkpoint of this writer certainly is in the platform. */
    record CheckpointStored(EventStamp stamp, ChargeCheckpoint checkpoint) implements ChargeLogEvent {}

    /** Time passed. */
    record Tick(EventStamp stamp) implements ChargeLogEvent {}
}
