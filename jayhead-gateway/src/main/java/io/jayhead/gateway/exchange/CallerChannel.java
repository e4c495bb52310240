package io.jayhead.gateway.exchange;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes one answer to a caller; used by the traffic thread. */
public interface CallerChannel {

    /**
     * Writes a whole answer.
     *
     * @param status the status
     * @param headers the headers, without those of the framing
     * @param body the body
     */
    void answer(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /**
     * Writes the head of a stream.
     *
     * @param status the status
     * @param headers the headers, without those of the framing
     */
    void startStream(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Writes a part of a stream.
     *
     * @param bytes the bytes
     */
    void stream(byte[] bytes);

    /** Ends a stream as complete. */
    void endStream();

    /** Breaks the answer off so that it cannot be taken for a complete one. */
    void abort();

    /**
     * Returns the connection.
     *
     * @return the channel
     */
    Channel channel();
}
