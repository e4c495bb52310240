package io.jayhead.load.plan;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Draws random values with given weights.
 *
 * @param <T> the type of the values
 */
public final class WeightedChoice<T> {

    /** With this exponent, the two largest of ten organisations get about half of the requests. */
    private static final double ZIPF_EXPONENT = 1.1;

    private final List<T> values;
    private final double[] cumulativeWeights;

    private WeightedChoice(List<T> values, double[] cumulativeWeights) {
        this.values = values;
        this.cumulativeWeights = cumulativeWeights;
    }

    /**
     * Returns a choice with explicit weights.
     *
     * @param values the values, at least one
     * @param weight returns the weight of a value
     * @param <T> the type of the values
     * @return the choice
     */
    public static <T> WeightedChoice<T> of(List<T> values, ToDoubleFunction<T> weight) {
        return new WeightedChoice<>(
                List.copyOf(values),
                cumulativeSums(values.stream().mapToDouble(weight).toArray()));
    }

    /**
     * Returns a choice whose weights follow a Zipf distribution over the rank of the values.
     *
     * @param values the values, at least one, the most frequent first
     * @param <T> the type of the values
     * @return the choice
     */
    public static <T> WeightedChoice<T> zipf(List<T> values) {
        double[] weights = IntStream.rangeClosed(1, values.size())
                .mapToDouble(rank -> Math.pow(rank, -ZIPF_EXPONENT))
                .toArray();
        return new WeightedChoice<>(List.copyOf(values), cumulativeSums(weights));
    }

    /**
     * Draws one value.
     *
     * @param random the source of randomness
     * @return the value
     */
    public T draw(SplittableRandom random) {
        double threshold = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = 0;
        while (index < cumulativeWeights.length - 1 && cumulativeWeights[index] <= threshold) {
            index++;
        }
        return values.get(index);
    }

    private static double[] cumulativeSums(double[] weights) {
        double[] sums = weights.clone();
        for (int i = 1; i < sums.length; i++) {
            sums[i] += sums[i - 1];
        }
        return sums;
    }
}
