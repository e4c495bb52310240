package io.jayhead.scenarios.run;

import java.util.Map;
import java.util.TreeMap;

/**
 * Holds what a stand-in counted.
 *
 * @param executions executions by order or by request id of an engine
 * @param runs runs started at an engine
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
