package io.jayhead.daemon.charge;

import io.jayhead.model.IncarnationId;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Tracks the charges of other routers that are not in the log yet; belongs to the control thread. */
final class OpenAppends {

    private final Map<IncarnationId, Set<CompletableFuture<Void>>> open = new HashMap<>();

    /** Returns a future to complete when the charge is in the log. */
    CompletableFuture<Void> add(ChargeEntry entry) {
        CompletableFuture<Void> committed = new CompletableFuture<>();
        open.computeIfAbsent(entry.incarnation(), key -> new HashSet<>()).add(committed);
        committed.thenRun(() -> open.computeIfPresent(entry.incarnation(), (key, appends) -> {
            appends.remove(committed);
            return appends.isEmpty() ? null : appends;
        }));
        return committed;
    }

    List<CompletableFuture<Void>> of(IncarnationId holder) {
        return List.copyOf(open.getOrDefault(holder, Set.of()));
    }
}
