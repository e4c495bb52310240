package io.jayhead.bench.report;

import java.util.List;

/**
 * Holds a line fitted to measured values.
 *
 * @param base the value of the line at size 0
 * @param perUnit the growth of the value for each unit of size
 */
public record Slope(double base, double perUnit) {

    /**
     * Fits a line by the method of least squares.
     *
     * @param sizes the sizes, at least two different ones
     * @param values the values at these sizes, in the same order
     * @return the line
     * @throws IllegalArgumentException if all sizes are equal
     */
    public static Slope fit(List<Integer> sizes, List<Double> values) {
        double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElseThrow();
        double meanValue =
                values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (int index = 0; index < sizes.size(); index++) {
            double deviation = sizes.get(index) - meanSize;
            covariance += deviation * (values.get(index) - meanValue);
            variance += deviation * deviation;
        }
        if (variance == 0) {
            throw new IllegalArgumentException("a slope needs at least two different sizes");
        }
        double perUnit = covariance / variance;
        return new Slope(meanValue - perUnit * meanSize, perUnit);
    }
}
