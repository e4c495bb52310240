package io.jayhead.settlement.charge;

/**
 * Records that this writer knows a checkpoint to be stored; the slots below it may be deleted one retention time later.
 *
 * <p>The time is that of the confirmation, not of the write: a delayed write must not shorten the retention.
 *
 * @param nextSlot the first slot that the checkpoint does not contain
 * @param minute the minute of the confirmation since the epoch
 */
record ConfirmedCheckpoint(long nextSlot, long minute) {}
