package io.jayhead.ctl.router;

/** Waits between attempts. */
public final class Pause {

    private Pause() {}

    /**
     * Waits. An interrupt ends the wait, and the thread stays interrupted.
     *
     * @param durationMs the duration in milliseconds
     */
    public static void ofMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
