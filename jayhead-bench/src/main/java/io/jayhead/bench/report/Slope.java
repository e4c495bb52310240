package io.jayhead.bench.report;

import java.util.List;

/**
 * Holds a straight line through measured values.
 *
 * @param base the value at size 0
 * @param perUnit the growth for each unit of size
 */
public record Slope(double base, double perUnit) {

    /**
     * Fits a line by least squares.
     *
     * @param sizes the sizes, at least two different ones
     * @param values the values at these sizes
     * @return the line
     */
    public static Slope fit(List<Integer> sizes, List<Double> values) {
        double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElseThrow();
        double meanValue =
                values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (int index = 0; index < sizes.size(); index++) {
            double distance = sizes.get(index) - meanSize;
            covariance += distance * (values.get(index) - meanValue);
            variance += distance * distance;
        }
        if (variance == 0) {
            throw new IllegalArgumentException("a slope needs two sizes");
        }
        double perUnit = covariance / variance;
        return new Slope(meanValue - perUnit * meanSize, perUnit);
    }
}
