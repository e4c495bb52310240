package io.jayhead.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Remembers requests by id and forgets the oldest ended ones beyond a limit. */
final class RunRecords {

    private final int maxRecords;
    private final Map<String, Run> oldestFirst = new LinkedHashMap<>();

    RunRecords(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    Optional<Run> find(String id) {
        return Optional.ofNullable(oldestFirst.get(id));
    }

    /** Returns the ended requests of a holder that are remembered, oldest first. */
    List<Run> ended(String holder) {
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
