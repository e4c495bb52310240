package io.jayhead.standins.http;

import com.google.common.flogger.FluentLogger;
import io.jayhead.standins.fault.FaultRegistry;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Provides a stand-in with its control thread, its clock and the active faults.
 *
 * @param control the control thread, which owns all state of the stand-in
 * @param faults the active faults
 */
public record StandinContext(ScheduledExecutorService control, FaultRegistry faults) {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Returns the monotonic time in milliseconds. */
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Runs a task on the control thread after a delay.
     *
     * @param delayMs the delay in milliseconds
     * @param task the task
     */
    public void after(long delayMs, Runnable task) {
        afterNanos(TimeUnit.MILLISECONDS.toNanos(delayMs), task);
    }

    /**
     * Runs a task on the control thread after a delay and logs the exception if it fails.
     *
     * @param delayNanos the delay in nanoseconds
     * @param task the task
     */
    public void afterNanos(long delayNanos, Runnable task) {
        control.schedule(() -> runLogged(task), delayNanos, TimeUnit.NANOSECONDS);
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The executor would keep the exception in a future that no code reads.
            LOG.atSevere().withCause(e).log("delayed task failed");
        }
    }
}
