package io.jayhead.model;

/** Names the reason why a request certainly did not run. */
public enum NotRunProof {
    /** The request was refused before it was sent to an upstream. */
    BEFORE_DISPATCH,
    /** The connection to the upstream failed before the first byte of the request was written. */
    CONNECT_FAILED,
    /** The upstream answered with a documented refusal, which it sends only if the request did not run. */
    UPSTREAM_REFUSED
}
