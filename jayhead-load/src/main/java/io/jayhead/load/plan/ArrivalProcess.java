package io.jayhead.load.plan;

import java.util.SplittableRandom;

/** Draws the arrival times of a Poisson process. */
public final class ArrivalProcess {

    private static final double NS_PER_SECOND = 1e9;

    private final SplittableRandom random;
    private final double ratePerSecond;
    private long lastArrivalNs;

    /**
     * Creates a process that starts at time 0.
     *
     * @param seed the seed; the same seed gives the same times
     * @param ratePerSecond the mean number of arrivals per second, above 0
     */
    public ArrivalProcess(long seed, double ratePerSecond) {
        if (!(ratePerSecond > 0)) {
            throw new IllegalArgumentException("rate must be above 0: " + ratePerSecond);
        }
        this.random = new SplittableRandom(seed);
        this.ratePerSecond = ratePerSecond;
    }

    /**
     * Draws the time of the next arrival.
     *
     * @return the arrival in nanoseconds since the start of the process
     */
    public long nextNs() {
        lastArrivalNs += (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * NS_PER_SECOND);
        return lastArrivalNs;
    }
}
