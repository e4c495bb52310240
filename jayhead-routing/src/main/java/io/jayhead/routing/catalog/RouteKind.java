package io.jayhead.routing.catalog;

/** Says how often the requests of a route may run and how their answers arrive. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once for each request. */
    AT_MOST_ONCE(false, false),
    /** Answers with a stream of events; repeatable only where the route may be resumed. */
    STREAMING(false, true);

    private final boolean repeatable;
    private final boolean streaming;

    RouteKind(boolean repeatable, boolean streaming) {
        this.repeatable = repeatable;
        this.streaming = streaming;
    }

    /**
     * Tells whether a request may be sent again although it may have run.
     *
     * @param resumable whether the route allows a stream to be resumed
     * @return true if another run is allowed
     */
    public boolean mayRunAgain(boolean resumable) {
        return repeatable || streaming && resumable;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true for streams
     */
    public boolean isStreaming() {
        return streaming;
    }
}
