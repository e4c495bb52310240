package io.jayhead.admission.freshness;

/** Holds the adopted version and list revision that a member last reported, and when that heartbeat was sent. */
record MemberReply(long version, long listRevision, long sentAtMs) {

    /**
     * Returns the newer reply. A reply with a lower version or list revision is ignored: it is late, or comes from a
     * restarted member that may have lost a version.
     */
    MemberReply latest(MemberReply other) {
        if (other.version < version || other.listRevision < listRevision) {
            return this;
        }
        return new MemberReply(other.version, other.listRevision, Math.max(sentAtMs, other.sentAtMs));
    }
}
