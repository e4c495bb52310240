package io.jayhead.bench.measure;

/**
 * Holds the lengths of a measurement.
 *
 * @param warmUpMs how long an operation runs before it is measured
 * @param batchMs how long one batch of operations takes
 * @param repeats the number of batches, of which the median counts
 */
public record MeterSettings(long warmUpMs, long batchMs, int repeats) {

    /** Checks the bounds. */
    public MeterSettings {
        if (warmUpMs < 0 || batchMs < 1 || repeats < 1) {
            throw new IllegalArgumentException("meter settings out of range");
        }
    }
}
