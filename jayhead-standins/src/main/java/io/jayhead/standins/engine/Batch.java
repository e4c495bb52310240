package io.jayhead.standins.engine;

import io.jayhead.standins.fault.FaultKind;
import io.jayhead.standins.http.StandinContext;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs a limited number of requests concurrently and queues the others by priority, then by order of arrival. */
final class Batch {

    private static final long FREEZE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final EngineOptions options;
    private final StandinContext context;
    private final CacheEventLog cacheEvents;
    private final PrefixCache cache;
    private final Queue<Run> queue = new PriorityQueue<>(
            Comparator.comparingInt(Run::priority).reversed().thenComparingLong(Run::arrival));
    private final Set<Run> running = new HashSet<>();
    private final Map<String, Integer> executions = new TreeMap<>();
    private Totals totals = new Totals(0, 0, 0);

    Batch(EngineOptions options, StandinContext context, CacheEventLog cacheEvents) {
        this.options = options;
        this.context = context;
        this.cacheEvents = cacheEvents;
        this.cache = new PrefixCache(options.prefixCacheEntries(), this::onCacheChange);
    }

    boolean isFull() {
        return running.size() >= options.maxBatch() && queue.size() >= options.maxQueue();
    }

    int queued() {
        return queue.size();
    }

    int running() {
        return running.size();
    }

    Totals totals() {
        return totals;
    }

    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    void add(Run run) {
        queue.add(run);
        startQueued();
    }

    void cancel(Run run) {
        if (run.state().isEnded()) {
            return;
        }
        queue.remove(run);
        running.remove(run);
        run.end(RunState.CANCELLED);
        startQueued();
    }

    /** Cancels the holder's queued and running requests with a lower fencing token and returns their number. */
    int cancelOlderThan(Fence fence) {
        List<Run> affected = Stream.concat(queue.stream(), running.stream())
                .filter(run -> run.fence().isOlderThan(fence))
                .toList();
        affected.forEach(this::cancel);
        return affected.size();
    }

    private void startQueued() {
        while (running.size() < options.maxBatch() && !queue.isEmpty()) {
            start(queue.remove());
        }
    }

    private void start(Run run) {
        running.add(run);
        executions.merge(run.id(), 1, Integer::sum);
        totals = totals.withRun(run.text().promptTokens());
        run.start(System.nanoTime() + firstTokenNanos(run));
        schedule(run);
    }

    private long firstTokenNanos(Run run) {
        String prompt = run.body().prompt();
        boolean cached = cache.access(SyntheticText.prefixKey(run.body().model(), prompt));
        int savedTokens = cached ? SyntheticText.prefixTokens(prompt) : 0;
        long promptMicros = (run.text().promptTokens() - savedTokens) * options.promptTokenMicros();
        return TimeUnit.MILLISECONDS.toNanos(options.firstTokenMs()) + TimeUnit.MICROSECONDS.toNanos(promptMicros);
    }

    private void schedule(Run run) {
        long delayNanos = Math.max(0, run.dueNanos() - System.nanoTime());
        scheduleIn(run, delayNanos);
    }

    private void scheduleIn(Run run, long delayNanos) {
        context.afterNanos(delayNanos, () -> produceToken(run));
    }

    private void produceToken(Run run) {
        if (run.state() != RunState.RUNNING) {
            return;
        }
        if (context.faults().isFrozen("")) {
            scheduleIn(run, FREEZE_POLL_NANOS);
            return;
        }
        totals = totals.withToken();
        // After a freeze the due time lies far in the past; scheduling from now avoids a burst of overdue tokens.
        long tokenNanos = TimeUnit.MILLISECONDS.toNanos(options.tokenMs());
        long baseNanos = Math.max(run.dueNanos(), System.nanoTime() - tokenNanos);
        if (run.produceToken(baseNanos + tokenNanos)) {
            running.remove(run);
            startQueued();
            return;
        }
        schedule(run);
    }

    private void onCacheChange(String operation, String prefix) {
        boolean lost = context.faults().tryConsume(FaultKind.CACHE_GAP, "");
        cacheEvents.add(operation, prefix, context.nowMs(), lost);
    }
}
