package io.jayhead.daemon.fleet;

/**
 * What a router knows of another one.
 *
 * @param member the registration
 * @param lastReplyMs when the last reply arrived; 0 if none did
 * @param fleetVersion the configuration version that it uses
 * @param shuttingDown whether it shuts down
 */
public record PeerState(Member member, long lastReplyMs, long fleetVersion, boolean shuttingDown) {

    /**
     * Returns the state of a router that has not been heard of.
     *
     * @param member the registration
     * @return the state
     */
    public static PeerState of(Member member) {
        return new PeerState(member, 0, 0, false);
    }

    /**
     * Returns this state with a new registration; a new incarnation starts afresh.
     *
     * @param newMember the registration
     * @return the new state
     */
    public PeerState withMember(Member newMember) {
        return newMember.equals(member) ? this : of(newMember);
    }

    /**
     * Tells whether the router answered lately and goes on.
     *
     * @param nowMs the time
     * @param limitMs how long a reply counts
     * @return true if it is live
     */
    public boolean isLive(long nowMs, long limitMs) {
        return lastReplyMs > 0 && nowMs - lastReplyMs < limitMs && !shuttingDown;
    }
}
