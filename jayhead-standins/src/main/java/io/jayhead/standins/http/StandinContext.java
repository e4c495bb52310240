package io.jayhead.standins.http;

import com.google.common.flogger.FluentLogger;
import io.jayhead.standins.fault.FaultBoard;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Gives a stand-in its control thread, its clock and the faults in force.
 *
 * @param control the control thread, which owns all state of the stand-in
 * @param faults the faults in force
 */
public record StandinContext(ScheduledExecutorService control, FaultBoard faults) {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Returns the monotonic time in milliseconds. */
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Runs a task on the control thread after a delay.
     *
     * @param delayMs the delay
     * @param task the task
     */
    public void after(long delayMs, Runnable task) {
        afterNanos(TimeUnit.MILLISECONDS.toNanos(delayMs), task);
    }

    /**
     * Runs a task on the control thread after a delay and logs its failure.
     *
     * @param delayNanos the delay
     * @param task the task
     */
    public void afterNanos(long delayNanos, Runnable task) {
        control.schedule(() -> logged(task), delayNanos, TimeUnit.NANOSECONDS);
    }

    private static void logged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The executor keeps the exception in a future that nobody reads.
            LOG.atSevere().withCause(e).log("a delayed task failed");
        }
    }
}
