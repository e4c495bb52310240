package io.jayhead.load.experiment;

import io.jayhead.load.plan.Mix;
import java.nio.file.Path;

/**
 * Holds the settings of an experiment.
 *
 * @param mix the user whose request mix and fleet sizes are used
 * @param fault the fault to inject
 * @param ratePerSecond the mean number of new requests per second, without retries
 * @param durationS the time in seconds during which new requests arrive, from 1 to 30
 * @param seed the seed of arrivals and contents
 * @param retryShare the share of requests that are sent again with the same key, from 0 to 1; status reads are never
 *     sent again
 * @param budgetShare the top-up of each budget as a share of the worst-case demand on that budget
 * @param daemonClassPath the class path of routers
 * @param directory the directory for the settings and logs of the processes
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

    /**
     * Limits the duration so that start, arrivals, drain and stop fit into a minute, after which {@code
     * ExperimentCommand} ends an experiment.
     */
    public ExperimentSettings {
        if (durationS < 1 || durationS > MAX_DURATION_S) {
            throw new IllegalArgumentException("duration must be from 1 to " + MAX_DURATION_S + " s: " + durationS);
        }
    }

    /**
     * Returns the name of the experiment.
     *
     * @return the names of the mix and the fault, joined by a hyphen
     */
    public String name() {
        return mix.text() + "-" + fault.text();
    }
}
