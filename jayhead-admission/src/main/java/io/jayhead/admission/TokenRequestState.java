package io.jayhead.admission;

/** Tells whom a router has asked for tokens of a budget. */
public enum TokenRequestState {
    /** Nobody: no token request is in flight. */
    IDLE,
    /** The platform, for a grant. */
    PLATFORM,
    /** The peers, for a loan. */
    PEERS
}
