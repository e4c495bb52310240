package io.jayhead.gateway.upstream;

/** The ways in which an upstream sends bytes that do not belong to the answer to an open request. */
public enum UnsolicitedBytes {
    /** An answer that names another request than the open one. */
    OTHER_REQUEST,
    /** Bytes that follow a complete answer. */
    AFTER_ANSWER,
    /** Bytes that arrive while no request is open. */
    WHILE_IDLE,
    /** Bytes that have arrived but not been read when the next request is about to be sent. */
    BEFORE_REQUEST
}
