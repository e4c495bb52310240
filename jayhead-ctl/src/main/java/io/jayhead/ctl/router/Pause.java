package io.jayhead.ctl.router;

/** Waits between attempts. */
public final class Pause {

    private Pause() {}

    /**
     * Waits; an interrupt ends the wait and is kept.
     *
     * @param durationMs the time in milliseconds
     */
    public static void ofMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
