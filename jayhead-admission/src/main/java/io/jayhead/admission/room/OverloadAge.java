package io.jayhead.admission.room;

/**
 * For how long a service has been turning requests away; immutable.
 *
 * @param sinceMs the time in milliseconds at which the first request of the present overload was turned away
 * @param lastMs the time in milliseconds at which the last one was; 0 if none was
 */
record OverloadAge(long sinceMs, long lastMs) {

    static final OverloadAge NONE = new OverloadAge(0, 0);

    /** Requests that are turned away further apart than this belong to different overloads. */
    private static final long GAP_MS = 2_000;

    OverloadAge turnedAway(long nowMs) {
        return new OverloadAge(isPresent(nowMs) ? sinceMs : nowMs, nowMs);
    }

    /** Returns the age of the overload in milliseconds; 0 without one. */
    long ageMs(long nowMs) {
        return isPresent(nowMs) ? nowMs - sinceMs : 0;
    }

    private boolean isPresent(long nowMs) {
        return lastMs > 0 && nowMs - lastMs < GAP_MS;
    }
}
