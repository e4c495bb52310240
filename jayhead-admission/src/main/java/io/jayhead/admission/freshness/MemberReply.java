package io.jayhead.admission.freshness;

/** Holds what a member last said: its adopted version, its member list revision and when it was asked. */
record MemberReply(long version, long listRevision, long sentAtMs) {

    /** A reply below the known version is old, or comes from a restarted member that may have forgotten a version. */
    MemberReply latest(MemberReply other) {
        if (other.version < version || other.listRevision < listRevision) {
            return this;
        }
        return new MemberReply(other.version, other.listRevision, Math.max(sentAtMs, other.sentAtMs));
    }
}
