package io.jayhead.load.plan;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Draws values with given weights.
 *
 * @param <T> the type of the values
 */
public final class WeightedChoice<T> {

    /** Gives the two largest of ten organisations about half of the requests. */
    private static final double ZIPF_EXPONENT = 1.1;

    private final List<T> values;
    private final double[] cumulative;

    private WeightedChoice(List<T> values, double[] cumulative) {
        this.values = values;
        this.cumulative = cumulative;
    }

    /**
     * Returns a choice by weight.
     *
     * @param values the values, at least one
     * @param weight the weight of a value
     * @param <T> the type of the values
     * @return the choice
     */
    public static <T> WeightedChoice<T> of(List<T> values, ToDoubleFunction<T> weight) {
        return new WeightedChoice<>(
                List.copyOf(values),
                cumulate(values.stream().mapToDouble(weight).toArray()));
    }

    /**
     * Returns a choice in which the weight of a value falls with its rank.
     *
     * @param values the values, the most frequent first
     * @param <T> the type of the values
     * @return the choice
     */
    public static <T> WeightedChoice<T> zipf(List<T> values) {
        double[] weights = IntStream.rangeClosed(1, values.size())
                .mapToDouble(rank -> Math.pow(rank, -ZIPF_EXPONENT))
                .toArray();
        return new WeightedChoice<>(List.copyOf(values), cumulate(weights));
    }

    /**
     * Draws a value.
     *
     * @param random the source
     * @return the value
     */
    public T draw(SplittableRandom random) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int index = 0;
        while (index < cumulative.length - 1 && cumulative[index] <= point) {
            index++;
        }
        return values.get(index);
    }

    private static double[] cumulate(double[] weights) {
        double[] sums = weights.clone();
        for (int i = 1; i < sums.length; i++) {
            sums[i] += sums[i - 1];
        }
        return sums;
    }
}
