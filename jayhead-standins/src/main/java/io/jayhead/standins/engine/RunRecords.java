package io.jayhead.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds requests by id and drops the oldest ended ones beyond a limit. Queued and running ones are never dropped. */
final class RunRecords {

    private final int maxRecords;
    private final Map<String, Run> oldestFirst = new LinkedHashMap<>();

    RunRecords(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    Optional<Run> find(String id) {
        return Optional.ofNullable(oldestFirst.get(id));
    }

    /** Returns the ended requests of a holder that were not dropped, oldest first. */
    List<Run> endedRuns(String holder) {
        return oldestFirst.values().stream()
                .filter(run ->
                        run.fence().holder().equals(holder) && run.state().isEnded())
                .toList();
    }

    void add(Run run) {
        oldestFirst.put(run.id(), run);
        Iterator<Run> oldest = oldestFirst.values().iterator();
        for (int excess = oldestFirst.size() - maxRecords; excess > 0 && oldest.hasNext(); ) {
            if (oldest.next().state().isEnded()) {
                oldest.remove();
                excess--;
            }
        }
    }
}
