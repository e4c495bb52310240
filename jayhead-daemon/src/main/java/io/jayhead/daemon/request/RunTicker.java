package io.jayhead.daemon.request;

import io.jayhead.daemon.control.HybridClock;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** Passes the current time to all runs of a router at a fixed period, so that they can detect missed deadlines. */
public final class RunTicker implements AutoCloseable {

    private static final long PERIOD_MS = 100;

    private final Set<LongConsumer> runs = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "run-ticker");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a ticker and starts its thread.
     *
     * @param clock the clock
     */
    public RunTicker(HybridClock clock) {
        timer.scheduleWithFixedDelay(
                () -> runs.forEach(run -> run.accept(clock.nowMs())), PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Adds a run.
     *
     * @param run receives the current time in milliseconds on the thread of the ticker
     */
    public void add(LongConsumer run) {
        runs.add(run);
    }

    /**
     * Removes a run; has no effect if the run was not added.
     *
     * @param run the run
     */
    public void remove(LongConsumer run) {
        runs.remove(run);
    }

    /**
     * Returns the number of runs in flight.
     *
     * @return the number of runs that were added and not removed
     */
    public int size() {
        return runs.size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
