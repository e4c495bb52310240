package io.jayhead.gateway.log;

/**
 * A task whose unexpected failures are logged and end only this run of it.
 *
 * <p>An event loop cancels a periodic task after its first exception, without a word.
 *
 * @param name the name of the task in log lines
 * @param log receives the failures
 * @param task the task
 */
public record GuardedTask(String name, StructuredLog log, Runnable task) implements Runnable {

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException failure) {
            log.write(LogKind.PROCESS, "task failed", "task", name, "cause", describe(failure));
        }
    }

    /**
     * Describes an unexpected failure in one line.
     *
     * @param failure the failure
     * @return its type and message, and the place in the code where it was thrown, if known
     */
    public static String describe(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return trace.length == 0 ? failure.toString() : failure + " at " + trace[0];
    }
}
