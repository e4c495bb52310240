package io.jayhead.settlement.charge;

import java.util.List;

/**
 * Summarises the slots below a position, so that a new owner need not read them.
 *
 * @param ledger the sums and the recent keys
 * @param marks the checkpoints of the last retention time and the newest one before, oldest first
 */
public record ChargeCheckpoint(ChargeLedger ledger, List<CheckpointMark> marks) {

    /** Copies the list. */
    public ChargeCheckpoint {
        marks = List.copyOf(marks);
    }

    /**
     * Tells whether this checkpoint may replace a stored one; a delayed writer must not move it back.
     *
     * @param stored the checkpoint in the platform
     * @return true if this one contains more slots
     */
    public boolean supersedes(ChargeCheckpoint stored) {
        return ledger.nextSlot() > stored.ledger().nextSlot();
    }

    /**
     * Returns the first slot that must be kept.
     *
     * @param nowMinute the current minute since the epoch
     * @param retentionMinutes how long a covered slot is kept after the checkpoint that covers it
     * @return all slots below it may be deleted
     */
    public long deletableBelow(long nowMinute, long retentionMinutes) {
        return marks.stream()
                .filter(mark -> mark.minute() <= nowMinute - retentionMinutes)
                .mapToLong(CheckpointMark::nextSlot)
                .max()
                .orElse(0);
    }
}
