package io.jayhead.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs every task that reads or changes control state on a single thread, so that the state needs no locks. After
 * {@link #close}, new tasks are discarded.
 */
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
        // Replies from the network may still arrive during shutdown, when no component is left to handle them.
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Starts a control thread.
     *
     * @return the running control thread
     */
    public static ControlThread start() {
        ControlThread control = new ControlThread();
        control.executor.prestartAllCoreThreads();
        return control;
    }

    /**
     * Queues a task and returns immediately. An exception that the task throws is logged.
     *
     * @param task the task to run
     */
    public void execute(Runnable task) {
        executor.execute(loggingFailures(task));
    }

    /**
     * Queues a task that computes a value, and returns immediately.
     *
     * @param task the task to run
     * @param <T> the type of the value
     * @return a future with the value; completes exceptionally if the task throws
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Runs a task once after a delay. An exception that the task throws is logged.
     *
     * @param delayMs the delay in milliseconds
     * @param task the task to run
     */
    public void after(long delayMs, Runnable task) {
        executor.schedule(loggingFailures(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task periodically until the thread is closed. An exception that the task throws is logged and does not end
     * the repetition.
     *
     * @param periodMs the time in milliseconds before the first run, and from the end of a run to the start of the next
     * @param task the task to run
     */
    public void every(long periodMs, Runnable task) {
        executor.scheduleWithFixedDelay(loggingFailures(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the processor time that the control thread has used.
     *
     * @return the time in seconds
     */
    public double cpuSeconds() {
        Thread startedThread = thread;
        return startedThread == null
                ? 0
                : ManagementFactory.getThreadMXBean().getThreadCpuTime(startedThread.getId()) / 1e9;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOGGER.atSevere().withCause(e).log("control task failed");
            }
        };
    }
}
