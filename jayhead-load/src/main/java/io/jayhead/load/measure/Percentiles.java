package io.jayhead.load.measure;

import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;

/**
 * Summarises a distribution of times.
 *
 * @param count the number of recorded times
 * @param p50Ms the median
 * @param p95Ms the 95th percentile
 * @param p99Ms the 99th percentile
 */
public record Percentiles(long count, double p50Ms, double p95Ms, double p99Ms) {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NS_PER_US = 1_000;
    private static final double US_PER_MS = 1_000;

    /**
     * Summarises times given in nanoseconds.
     *
     * @param valuesNs the times
     * @return the summary in milliseconds; all 0 if there are no times
     */
    public static Percentiles of(LongStream valuesNs) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        valuesNs.forEach(valueNs -> histogram.recordValue(Math.max(0, valueNs / NS_PER_US)));
        return new Percentiles(
                histogram.getTotalCount(),
                percentileMs(histogram, 50),
                percentileMs(histogram, 95),
                percentileMs(histogram, 99));
    }

    private static double percentileMs(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
    }
}
