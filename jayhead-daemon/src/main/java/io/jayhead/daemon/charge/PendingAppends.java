package io.jayhead.daemon.charge;

import io.jayhead.model.IncarnationId;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the charges of other routers that this router is writing to the charge log. Confined to the control thread.
 */
final class PendingAppends {

    private final Map<IncarnationId, Set<CompletableFuture<Void>>> appendsByIncarnation = new HashMap<>();

    /** Starts to track a charge; the caller completes the returned future when the charge is in the log. */
    CompletableFuture<Void> add(ChargeEntry entry) {
        CompletableFuture<Void> committed = new CompletableFuture<>();
        appendsByIncarnation
                .computeIfAbsent(entry.incarnation(), key -> new HashSet<>())
                .add(committed);
        committed.thenRun(() -> appendsByIncarnation.computeIfPresent(entry.incarnation(), (key, appends) -> {
            appends.remove(committed);
            return appends.isEmpty() ? null : appends;
        }));
        return committed;
    }

    List<CompletableFuture<Void>> sentBy(IncarnationId incarnation) {
        return List.copyOf(appendsByIncarnation.getOrDefault(incarnation, Set.of()));
    }
}
