package io.jayhead.gateway.control;

/** Why a call to the platform failed. */
public enum PlatformFault {
    /** The platform refused the call; nothing was done. */
    REFUSED,
    /** There was no answer; the call may have been executed or may still be. */
    UNANSWERED,
    /** The history that a watch needs is gone. */
    HISTORY_GONE,
    /** The object does not exist. */
    MISSING,
    /** The answer could not be read. */
    MALFORMED;

    /**
     * Tells whether the platform itself seems to be away.
     *
     * @return true for refused and unanswered calls
     */
    public boolean isOutage() {
        return this == REFUSED || this == UNANSWERED;
    }
}
