package io.jayhead.gateway.upstream;

import io.jayhead.gateway.wire.AnswerMetadata;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of one attempt; called on the traffic thread. */
public interface AttemptListener {

    /**
     * Returns the id of the request, by which its answer is told from others.
     *
     * @return the id
     */
    String requestId();

    /**
     * Receives a connection that is ready for the request.
     *
     * @param connection the connection; it belongs to the attempt until the answer is complete or the connection closes
     */
    void connected(UpstreamConnection connection);

    /** Reports that no connection could be opened, so that nothing was sent. */
    void notConnected();

    /** Reports that this router has as many connections to the upstream as it may have, and all are in use. */
    void allConnectionsInUse();

    /**
     * Receives the status and headers of the answer.
     *
     * @param answer the status and headers
     * @param metadata the values of its headers
     */
    void head(HttpResponse answer, AnswerMetadata metadata);

    /**
     * Receives the next bytes of the body.
     *
     * @param bytes the bytes; released after this method has returned
     */
    void content(ByteBuf bytes);

    /** Reports that the answer is complete. */
    void complete();

    /**
     * Reports that the connection ended or failed before the answer was complete.
     *
     * @param reason the cause, for the log
     */
    void broken(String reason);

    /** Reports that the writability of the connection to the upstream has changed. */
    default void writabilityChanged() {}
}
