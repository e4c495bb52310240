package io.jayhead.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the highest fencing token of each holder and the requests that fencing has cancelled. */
final class FenceRegister {

    private final Map<String, Long> highest = new HashMap<>();
    private final Map<String, List<RunUsage>> cancelled = new HashMap<>();

    boolean isStale(String holder, long number) {
        return number < highest.getOrDefault(holder, Long.MIN_VALUE);
    }

    /** Records a number and tells whether it is higher than all before. */
    boolean raise(String holder, long number) {
        Long before = highest.get(holder);
        highest.merge(holder, number, Math::max);
        return before == null || number > before;
    }

    void addCancelled(String holder, List<RunUsage> usages) {
        cancelled.computeIfAbsent(holder, ignored -> new ArrayList<>()).addAll(usages);
    }

    /** Returns all requests of the holder that fencing cancelled, so that a repeated order loses none. */
    List<RunUsage> cancelled(String holder) {
        return List.copyOf(cancelled.getOrDefault(holder, List.of()));
    }
}
