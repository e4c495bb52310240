package io.jayhead.gateway.upstream;

import io.jayhead.gateway.wire.AnswerFacts;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what happens to one attempt; all calls come from the traffic thread. */
public interface AttemptListener {

    /**
     * Receives a connection that is ready for the request.
     *
     * @param connection the connection; the attempt ends when it is released or closed
     */
    void connected(UpstreamConnection connection);

    /** Reports that no connection could be made; nothing was sent. */
    void notConnected();

    /**
     * Receives the head of the answer.
     *
     * @param answer the head
     * @param facts what its headers say
     */
    void head(HttpResponse answer, AnswerFacts facts);

    /**
     * Receives bytes of the body.
     *
     * @param bytes the bytes, owned by the caller of this method
     */
    void content(ByteBuf bytes);

    /** Reports that the answer is complete. */
    void complete();

    /**
     * Reports that the connection ended or failed before the answer was complete.
     *
     * @param reason what happened, for the log
     */
    void broken(String reason);

    /** Reports that the connection can take more bytes of the request, or the caller more of the answer. */
    default void writabilityChanged() {}
}
