package io.jayhead.gateway.control;

/** The reasons for which a call to the platform fails. */
public enum PlatformFault {
    /** The platform refused the call; nothing was done. */
    REFUSED,
    /** The platform refused the call because it gets too many; nothing was done, and the platform is alive. */
    THROTTLED,
    /** No connection could be opened; nothing was done. */
    UNREACHABLE,
    /** There was no answer on a new connection; the call may have been executed or may still be executed. */
    UNANSWERED,
    /**
     * There was no answer on a connection that had brought answers before, so the connection may have failed and not
     * the platform. The call may have been executed or may still be executed.
     */
    CONNECTION_LOST,
    /** The platform no longer has the history that a watch needs. */
    HISTORY_GONE,
    /**
     * The platform has gone back to an older copy since the call was sent. The call may have been executed, and its
     * revisions belong to the lost time.
     */
    RESTORED,
    /** The object does not exist. */
    MISSING,
    /** The answer could not be read. */
    MALFORMED;

    /**
     * Tells whether the fault suggests that the platform itself is unavailable.
     *
     * @return true for refused and unanswered calls, and without a connection
     */
    public boolean isOutage() {
        return this == REFUSED || mayBeOfOneConnection();
    }

    /**
     * Tells whether the fault may concern one connection only, so that an outage shows in repetitions.
     *
     * @return true for unanswered calls and without a connection
     */
    public boolean mayBeOfOneConnection() {
        return this == UNREACHABLE || this == UNANSWERED;
    }

    /**
     * Tells whether an outage of the platform may be the cause, which only a call on a new connection shows.
     *
     * @return true for refused and unanswered calls, on whichever connection
     */
    public boolean mayBeOutage() {
        return isOutage() || this == CONNECTION_LOST;
    }
}
