package io.jayhead.standins.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Keeps the highest fencing token of each holder and the ended requests that fence answers have listed. */
final class FenceRegister {

    private final Map<String, Fence> highest = new HashMap<>();
    private final Map<String, Map<String, RunUsage>> cancelled = new HashMap<>();
    private final Map<String, Map<String, RunUsage>> finished = new HashMap<>();

    /** Records a token as the highest of its holder, or returns false if it is older than that. */
    boolean accept(Fence fence) {
        Fence before = highest.get(fence.holder());
        if (before != null && fence.isOlderThan(before)) {
            return false;
        }
        highest.put(fence.holder(), fence);
        return true;
    }

    /** Adds the ended requests of a holder; kept apart from the records, which forget, so that no repeat loses one. */
    void addEnded(String holder, List<Run> ended) {
        ended.forEach(run -> (run.state() == RunState.DONE ? finished : cancelled)
                .computeIfAbsent(holder, ignored -> new LinkedHashMap<>())
                .put(run.id(), run.usage()));
    }

    List<RunUsage> cancelled(String holder) {
        return List.copyOf(cancelled.getOrDefault(holder, Map.of()).values());
    }

    List<RunUsage> finished(String holder) {
        return List.copyOf(finished.getOrDefault(holder, Map.of()).values());
    }
}
