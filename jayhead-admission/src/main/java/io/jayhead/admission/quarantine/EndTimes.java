package io.jayhead.admission.quarantine;

/**
 * When the first and the last of several upstreams ended, by the clocks of the routers that saw it.
 *
 * <p>Clocks differ and may jump, so the times are only evidence of whether the upstreams ended together.
 *
 * @param firstMs the time of the first end in milliseconds since 1970; 0 if unknown
 * @param lastMs the time of the last end in milliseconds since 1970; 0 if unknown
 */
public record EndTimes(long firstMs, long lastMs) {

    /** Ends that are no further apart may have one cause other than a request: a rack, a switch, a release. */
    private static final long MOMENT_MS = 500;

    private static final EndTimes UNKNOWN = new EndTimes(0, 0);

    /**
     * Returns times that are not known.
     *
     * @return the times
     */
    public static EndTimes unknown() {
        return UNKNOWN;
    }

    /**
     * Returns the times of a single end.
     *
     * @param atMs the time in milliseconds since 1970
     * @return the times
     */
    public static EndTimes of(long atMs) {
        return new EndTimes(atMs, atMs);
    }

    /**
     * Returns the times of the ends of both.
     *
     * @param other other ends
     * @return the first and the last of all; unknown if those of one are
     */
    public EndTimes merge(EndTimes other) {
        if (equals(UNKNOWN) || other.equals(UNKNOWN)) {
            return UNKNOWN;
        }
        return new EndTimes(Math.min(firstMs, other.firstMs), Math.max(lastMs, other.lastMs));
    }

    /**
     * Tells whether all ends may have been one event.
     *
     * @return true if they are known to be close to each other
     */
    public boolean areOneMoment() {
        return !equals(UNKNOWN) && lastMs - firstMs <= MOMENT_MS;
    }
}
