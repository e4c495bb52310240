package io.jayhead.load.plan;

import java.util.SplittableRandom;

/**
 * Bounds a uniformly drawn number.
 *
 * @param lowest the lowest value
 * @param highest the highest value
 */
public record IntRange(int lowest, int highest) {

    /** Checks the order. */
    public IntRange {
        if (lowest < 0 || highest < lowest) {
            throw new IllegalArgumentException("range must ascend from 0 or more: " + lowest + " to " + highest);
        }
    }

    static IntRange of(int lowest, int highest) {
        return new IntRange(lowest, highest);
    }

    int draw(SplittableRandom random) {
        return lowest + random.nextInt(highest - lowest + 1);
    }
}
