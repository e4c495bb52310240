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

/** Runs up to a number of requests side by side and queues the others by priority. */
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
        this.cache = new PrefixCache(options.prefixCacheEntries(), this::cacheChanged);
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
        fill();
    }

    void cancel(Run run) {
        if (run.state().isEnded()) {
            return;
        }
        queue.remove(run);
        running.remove(run);
        run.end(RunState.CANCELLED);
        fill();
    }

    /** Cancels the requests with an older token and returns their number. */
    int cancelOlderThan(Fence fence) {
        List<Run> affected = Stream.concat(queue.stream(), running.stream())
                .filter(run -> run.fence().isOlderThan(fence))
                .toList();
        affected.forEach(this::cancel);
        return affected.size();
    }

    private void fill() {
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
        boolean cached = cache.use(SyntheticText.prefixKey(run.body().model(), prompt));
        int savedTokens = cached ? SyntheticText.prefixTokens(prompt) : 0;
        long promptMicros = (run.text().promptTokens() - savedTokens) * options.promptTokenMicros();
        return TimeUnit.MILLISECONDS.toNanos(options.firstTokenMs()) + TimeUnit.MICROSECONDS.toNanos(promptMicros);
    }

    private void schedule(Run run) {
        long delayNanos = Math.max(0, run.dueNanos() - System.nanoTime());
        scheduleIn(run, delayNanos);
    }

    private void scheduleIn(Run run, long delayNanos) {
        context.afterNanos(delayNanos, () -> produce(run));
    }

    private void produce(Run run) {
        if (run.state() != RunState.RUNNING) {
            return;
        }
        if (context.faults().isFrozen("")) {
            scheduleIn(run, FREEZE_POLL_NANOS);
            return;
        }
        totals = totals.withToken();
        // After a freeze the due time lies far back; counting from now avoids a burst of late tokens.
        long tokenNanos = TimeUnit.MILLISECONDS.toNanos(options.tokenMs());
        long base = Math.max(run.dueNanos(), System.nanoTime() - tokenNanos);
        if (run.produce(base + tokenNanos)) {
            running.remove(run);
            fill();
            return;
        }
        schedule(run);
    }

    private void cacheChanged(String operation, String prefix) {
        boolean lost = context.faults().take(FaultKind.CACHE_GAP, "");
        cacheEvents.add(operation, prefix, context.nowMs(), lost);
    }
}
