package io.jayhead.standins.http;

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
        control.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }
}
