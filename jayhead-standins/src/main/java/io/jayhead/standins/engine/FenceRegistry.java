package io.jayhead.standins.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the highest fencing token of each holder and the ended requests listed in its fence responses. */
final class FenceRegistry {

    private final Map<String, Fence> highest = new HashMap<>();
    private final Map<String, Map<String, RunUsage>> cancelled = new HashMap<>();
    private final Map<String, Map<String, RunUsage>> finished = new HashMap<>();

    /** Records a token as the highest of its holder. Returns false if the holder's highest token is higher. */
    boolean accept(Fence fence) {
        Fence previous = highest.get(fence.holder());
        if (previous != null && fence.isOlderThan(previous)) {
            return false;
        }
        highest.put(fence.holder(), fence);
        return true;
    }

    /**
     * Adds the ended requests of a holder. They are kept apart from {@link RunRecords}, which drops old requests, so
     * that a repeated fence call still lists all of them.
     */
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
