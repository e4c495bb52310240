package io.jayhead.bench.measure;

import java.util.Map;

/**
 * Holds the figures of one subject at one size.
 *
 * @param subject what was measured
 * @param dimension what the size counts
 * @param size the size
 * @param values the medians by metric
 */
public record Sample(String subject, String dimension, int size, Map<Metric, Double> values) {

    /** Copies the map. */
    public Sample {
        values = Map.copyOf(values);
    }
}
