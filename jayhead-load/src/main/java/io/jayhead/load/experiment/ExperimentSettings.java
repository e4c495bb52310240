package io.jayhead.load.experiment;

import io.jayhead.load.plan.Mix;
import java.nio.file.Path;

/**
 * Holds what an experiment needs.
 *
 * @param mix the user whose sizes and mix are used
 * @param fault the fault
 * @param ratePerSecond the mean number of first sends per second
 * @param durationS the time during which requests arrive
 * @param seed the seed
 * @param retryShare the share of requests that are sent again with the same key
 * @param budgetShare the top-up of each budget as a share of its worst-case demand
 * @param daemonClassPath the class path of routers
 * @param directory receives settings and logs of the processes
 */
public record ExperimentSettings(
        Mix mix,
        Fault fault,
        double ratePerSecond,
        int durationS,
        long seed,
        double retryShare,
        double budgetShare,
        String daemonClassPath,
        Path directory) {

    private static final int MAX_DURATION_S = 30;

    /** Checks that start, arrivals, drain and stop fit into a minute. */
    public ExperimentSettings {
        if (durationS < 1 || durationS > MAX_DURATION_S) {
            throw new IllegalArgumentException("duration must be from 1 to " + MAX_DURATION_S + " s: " + durationS);
        }
    }

    /**
     * Returns the name of the experiment.
     *
     * @return mix and fault
     */
    public String name() {
        return mix.text() + "-" + fault.text();
    }
}
