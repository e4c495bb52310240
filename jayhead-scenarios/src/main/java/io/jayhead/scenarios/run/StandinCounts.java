package io.jayhead.scenarios.run;

import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the counters of a stand-in.
 *
 * @param executions the number of executions by order at a booking stand-in, by request id at an engine
 * @param runs the number of runs started at an engine, or 0 for a booking stand-in
 */
record StandinCounts(Map<String, Long> executions, long runs) {

    static final StandinCounts NONE = new StandinCounts(Map.of(), 0);

    StandinCounts {
        executions = Map.copyOf(executions);
    }

    StandinCounts plus(StandinCounts other) {
        Map<String, Long> sum = new TreeMap<>(executions);
        other.executions.forEach((id, count) -> sum.merge(id, count, Long::sum));
        return new StandinCounts(sum, runs + other.runs);
    }

    long executionsOf(String id) {
        return executions.getOrDefault(id, 0L);
    }

    long executionsWithPrefix(String prefix) {
        return executions.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
