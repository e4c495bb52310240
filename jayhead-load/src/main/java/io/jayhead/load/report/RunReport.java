package io.jayhead.load.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.jayhead.load.audit.Check;
import io.jayhead.load.measure.Measures;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the report of a run.
 *
 * @param mix the name of the mix, or of the experiment
 * @param ratePerSecond the planned mean number of new requests per second
 * @param durationS the time in seconds during which new requests arrived
 * @param seed the seed
 * @param measures the outcomes and times that callers saw
 * @param checks the count of each check for which there was evidence
 */
public record RunReport(
        String mix,
        double ratePerSecond,
        int durationS,
        long seed,
        Measures measures,
        @JsonProperty("checks") Map<Check, Long> checks) {

    /** Copies the counts in the order of the checks. */
    public RunReport {
        checks = new TreeMap<>(checks);
    }
}
