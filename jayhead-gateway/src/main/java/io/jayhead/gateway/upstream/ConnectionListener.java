package io.jayhead.gateway.upstream;

/** Is notified of the connections to upstreams; called on the traffic thread. */
public interface ConnectionListener {

    /** Reports that a connection is being opened. */
    void opened();

    /**
     * Reports bytes that do not belong to the answer to an open request.
     *
     * @param incarnation the incarnation of the upstream that sent them
     * @param kind when they arrived
     * @param requestId the open request, or the last one that was answered on the connection
     */
    void unsolicited(String incarnation, UnsolicitedBytes kind, String requestId);
}
