package io.jayhead.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps the highest fencing token of each holder and the requests that fencing has cancelled. */
final class FenceRegister {

    private final Map<String, Fence> highest = new HashMap<>();
    private final Map<String, List<RunUsage>> cancelled = new HashMap<>();

    /** Records a token as the highest of its holder, or returns false if it is older than that. */
    boolean accept(Fence fence) {
        Fence before = highest.get(fence.holder());
        if (before != null && fence.isOlderThan(before)) {
            return false;
        }
        highest.put(fence.holder(), fence);
        return true;
    }

    void addCancelled(String holder, List<RunUsage> usages) {
        cancelled.computeIfAbsent(holder, ignored -> new ArrayList<>()).addAll(usages);
    }

    /** Returns all requests of the holder that fencing cancelled, so that a repeated order loses none. */
    List<RunUsage> cancelled(String holder) {
        return List.copyOf(cancelled.getOrDefault(holder, List.of()));
    }
}
