package io.jayhead.settlement.charge;

/**
 * Records that this writer knew a checkpoint to be stored; slots below it may be deleted one retention time later.
 *
 * <p>The time is that of the confirmation, not of the write: a delayed write must not shorten the retention.
 *
 * @param nextSlot the first slot that the checkpoint did not contain
 * @param minute the minute of the confirmation since the epoch
 */
record CheckpointMark(long nextSlot, long minute) {}
