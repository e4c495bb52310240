package io.jayhead.standins.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls by method and kind, and how many of them the rate limit refused. */
final class CallCounter {

    /**
     * Holds the count of one method and kind.
     *
     * @param method GET, PUT, DELETE, LIST or WATCH
     * @param kind the kind of object, or {@code vms}
     * @param calls how many calls arrived
     * @param refused how many of them got 429
     */
    record Count(String method, String kind, long calls, long refused) {}

    private final Map<String, Count> counts = new TreeMap<>();

    void count(String method, String kind, boolean refused) {
        Count one = new Count(method, kind, 1, refused ? 1 : 0);
        counts.merge(method + " " + kind, one, CallCounter::sum);
    }

    List<Count> all() {
        return List.copyOf(counts.values());
    }

    private static Count sum(Count left, Count right) {
        return new Count(left.method(), left.kind(), left.calls() + right.calls(), left.refused() + right.refused());
    }
}
