package io.jayhead.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Holds the latest cache events and shows each to readers only after a lag. */
final class CacheEventLog {

    private static final int MAX_EVENTS = 10_000;

    private final long lagMs;
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEventLog(long lagMs) {
        this.lagMs = lagMs;
    }

    /** Appends an event. A lost event only consumes its sequence number, so that readers see a gap. */
    void add(String operation, String prefix, long nowMs, boolean lost) {
        lastSequence++;
        if (lost) {
            return;
        }
        events.addLast(new CacheEvent(lastSequence, operation, prefix, nowMs + lagMs));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    CacheEventPage since(long since, long nowMs) {
        List<CacheEvent> visible = events.stream()
                .filter(event -> event.sequence() > since && event.visibleAtMs() <= nowMs)
                .toList();
        if (visible.isEmpty()) {
            return new CacheEventPage(since, since > lastSequence, visible);
        }
        long next = visible.get(visible.size() - 1).sequence();
        return new CacheEventPage(next, next - since != visible.size(), visible);
    }
}
