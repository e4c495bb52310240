package io.jayhead.settlement.charge;

/**
 * Records when a checkpoint was written; slots below it may be deleted one retention time later.
 *
 * @param nextSlot the first slot that the checkpoint did not contain
 * @param minute the minute of its write since the epoch
 */
public record CheckpointMark(long nextSlot, long minute) {}
