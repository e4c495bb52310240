package io.jayhead.standins.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls, and those among them that the rate limit refused, by method and kind of object. */
final class CallCounter {

    /**
     * Holds the count of one method and kind.
     *
     * @param method GET, PUT, DELETE, LIST or WATCH
     * @param kind the kind of object, or {@code vms}
     * @param calls the number of calls received, including refused ones
     * @param refused the number of calls refused with 429
     */
    record Count(String method, String kind, long calls, long refused) {}

    private final Map<String, Count> counts = new TreeMap<>();

    void count(String method, String kind, boolean refused) {
        Count single = new Count(method, kind, 1, refused ? 1 : 0);
        counts.merge(method + " " + kind, single, CallCounter::sum);
    }

    List<Count> all() {
        return List.copyOf(counts.values());
    }

    private static Count sum(Count left, Count right) {
        return new Count(left.method(), left.kind(), left.calls() + right.calls(), left.refused() + right.refused());
    }
}
