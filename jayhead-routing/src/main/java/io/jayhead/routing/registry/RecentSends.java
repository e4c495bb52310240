package io.jayhead.routing.registry;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that one router has sent to an upstream that warms up, within a sliding window; immutable.
 *
 * @param sentAtMs the times in milliseconds at which they were sent, oldest first
 */
public record RecentSends(List<Long> sentAtMs) {

    private static final RecentSends NONE = new RecentSends(List.of());

    /** Makes an immutable copy. */
    public RecentSends {
        sentAtMs = List.copyOf(sentAtMs);
    }

    /**
     * Returns an instance without requests.
     *
     * @return the empty instance
     */
    public static RecentSends none() {
        return NONE;
    }

    /**
     * Tells whether one more request fits into every window that contains the current time.
     *
     * @param share what may be sent within a window
     * @param nowMs the current time
     * @return true if a request may be sent now
     */
    public boolean allows(WarmUpShare share, long nowMs) {
        return within(share.windowMs(), nowMs).size() < share.requests();
    }

    /**
     * Adds a request.
     *
     * @param share what may be sent within a window
     * @param nowMs the current time, when it is sent
     * @return the new instance, without requests that have left the window
     */
    public RecentSends with(WarmUpShare share, long nowMs) {
        List<Long> next = within(share.windowMs(), nowMs);
        next.add(nowMs);
        return new RecentSends(next);
    }

    private List<Long> within(long windowMs, long nowMs) {
        List<Long> recent = new ArrayList<>(sentAtMs);
        recent.removeIf(sentMs -> nowMs - sentMs > windowMs);
        return recent;
    }
}
