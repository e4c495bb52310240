package io.jayhead.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Holds the latest cache events and shows them late. */
final class CacheEventLog {

    private static final int MAX_EVENTS = 10_000;

    private final long lagMs;
    private final Deque<CacheEvent> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEventLog(long lagMs) {
        this.lagMs = lagMs;
    }

    /** Adds an event, or only uses up its sequence number where the event is lost. */
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
