package io.jayhead.load.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.jayhead.load.audit.Check;
import io.jayhead.load.measure.Measures;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds everything that a run reports.
 *
 * @param mix the name of the mix
 * @param ratePerSecond the planned rate
 * @param durationS the planned duration
 * @param seed the seed
 * @param measures the figures that callers saw
 * @param checks the counts of the checks that could be made
 */
public record RunReport(
        String mix,
        double ratePerSecond,
        int durationS,
        long seed,
        Measures measures,
        @JsonProperty("checks") Map<Check, Long> checks) {

    /** Copies the counts. */
    public RunReport {
        checks = new TreeMap<>(checks);
    }
}
