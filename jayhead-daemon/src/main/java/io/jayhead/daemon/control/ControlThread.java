package io.jayhead.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Runs all tasks that read or change control state, one at a time, on one thread. */
public final class ControlThread implements AutoCloseable {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;
    private volatile Thread thread;

    private ControlThread() {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        });
        // Replies that arrive while the router closes have nobody left to act on them.
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Returns a running control thread.
     *
     * @return the control thread
     */
    public static ControlThread start() {
        ControlThread control = new ControlThread();
        control.executor.prestartAllCoreThreads();
        return control;
    }

    /**
     * Runs a task; returns at once.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /**
     * Runs a task that gives a value; returns at once.
     *
     * @param task the task
     * @param <T> the type of the value
     * @return the value; fails if the task throws
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Runs a task after a delay.
     *
     * @param delayMs the delay
     * @param task the task
     */
    public void after(long delayMs, Runnable task) {
        executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task again and again.
     *
     * @param periodMs the time from one end to the next start
     * @param task the task
     */
    public void every(long periodMs, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the processor time that the control thread has used.
     *
     * @return seconds
     */
    public double cpuSeconds() {
        Thread current = thread;
        return current == null ? 0 : ManagementFactory.getThreadMXBean().getThreadCpuTime(current.getId()) / 1e9;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("control task failed");
            }
        };
    }
}
