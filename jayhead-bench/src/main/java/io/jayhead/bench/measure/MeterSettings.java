package io.jayhead.bench.measure;

/**
 * Holds the settings of a measurement.
 *
 * @param warmUpMs the processor time for which an operation runs before it is measured
 * @param batchMs the approximate processor time of one batch of operations
 * @param repeats the number of batches, of which the median counts
 */
public record MeterSettings(long warmUpMs, long batchMs, int repeats) {

    /** Rejects a negative warm-up time, and batch lengths and repeats below 1. */
    public MeterSettings {
        if (warmUpMs < 0 || batchMs < 1 || repeats < 1) {
            throw new IllegalArgumentException(
                    "warm-up must be at least 0 ms, batch at least 1 ms and repeats at least 1");
        }
    }
}
