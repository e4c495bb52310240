package io.jayhead.bench.measure;

import java.util.Map;

/**
 * Holds the measured values of one subject at one size.
 *
 * @param subject the name of the measured operation or state
 * @param dimension what is counted by the size, such as upstreams
 * @param size the size
 * @param values the median of each measured metric
 */
public record Sample(String subject, String dimension, int size, Map<Metric, Double> values) {

    /** Copies the map. */
    public Sample {
        values = Map.copyOf(values);
    }
}
