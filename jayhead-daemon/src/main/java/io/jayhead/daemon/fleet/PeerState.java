package io.jayhead.daemon.fleet;

/**
 * Holds what this router knows about another router.
 *
 * @param member the registration of the other router
 * @param lastReplyMs the time in milliseconds at which its last heartbeat reply arrived; 0 if none has
 * @param fleetVersion the configuration version that it last reported; 0 if none
 * @param shuttingDown whether it last reported that it is shutting down
 */
public record PeerState(Member member, long lastReplyMs, long fleetVersion, boolean shuttingDown) {

    /**
     * Returns the state of a router that has not replied yet.
     *
     * @param member the registration of the router
     * @return the initial state
     */
    public static PeerState of(Member member) {
        return new PeerState(member, 0, 0, false);
    }

    /**
     * Returns the state after the registration was read again. A changed registration resets the state, because it
     * belongs to a new incarnation.
     *
     * @param newMember the registration as last read
     * @return this state if the registration is unchanged, otherwise the initial state of the new one
     */
    public PeerState withMember(Member newMember) {
        return newMember.equals(member) ? this : of(newMember);
    }

    /**
     * Tells whether the router has replied recently and is not shutting down.
     *
     * @param nowMs the current time in milliseconds
     * @param limitMs how long after a reply the router counts as live, in milliseconds
     * @return true if it is live
     */
    public boolean isLive(long nowMs, long limitMs) {
        return lastReplyMs > 0 && nowMs - lastReplyMs < limitMs && !shuttingDown;
    }
}
