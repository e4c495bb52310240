package io.jayhead.routing.catalog;

/** Distinguishes routes by whether requests may run more than once and whether the answer is a stream. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT(true, false),
    /** A request runs at most once. */
    AT_MOST_ONCE(false, false),
    /** The answer is a stream of events; a request may run again only if the route is resumable. */
    STREAMING(false, true);

    private final boolean repeatable;
    private final boolean streaming;

    RouteKind(boolean repeatable, boolean streaming) {
        this.repeatable = repeatable;
        this.streaming = streaming;
    }

    /**
     * Tells whether a request may be sent again although an earlier attempt may have run it.
     *
     * @param resumable whether the route allows a stream to be resumed on another upstream
     * @return true if a second run is allowed
     */
    public boolean mayRunAgain(boolean resumable) {
        return repeatable || streaming && resumable;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true if the upstream sends events
     */
    public boolean isStreaming() {
        return streaming;
    }
}
