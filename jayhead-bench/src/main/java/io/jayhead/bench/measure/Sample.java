package io.jayhead.bench.measure;

import java.util.Map;

/**
 * Holds the measured values of one subject at one size.
 *
 * @param subject the name of the measured operation or state
 * @param dimension the unit of the size, such as upstreams
 * @param size the size
 * @param values the values by metric: the median of repeated measurements, except for the encoded size, which is
 *     measured once
 */
public record Sample(String subject, String dimension, int size, Map<Metric, Double> values) {

    /** Copies the map. */
    public Sample {
        values = Map.copyOf(values);
    }
}
