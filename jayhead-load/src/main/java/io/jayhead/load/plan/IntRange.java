package io.jayhead.load.plan;

import java.util.SplittableRandom;

/**
 * Describes the range of a uniformly distributed random integer.
 *
 * @param lowest the lower bound, inclusive, 0 or more
 * @param highest the upper bound, inclusive
 */
public record IntRange(int lowest, int highest) {

    /** Rejects a negative lower bound and an upper bound below the lower one. */
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
