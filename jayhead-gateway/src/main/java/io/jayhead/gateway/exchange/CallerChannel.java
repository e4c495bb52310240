package io.jayhead.gateway.exchange;

import io.jayhead.gateway.memory.ConnectionMemory;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** Writes answers to a caller; used by the traffic thread. */
public interface CallerChannel {

    /**
     * Writes a complete answer.
     *
     * @param status the status of the answer
     * @param headers the headers of the answer, without {@code Content-Length} and other framing headers
     * @param body the parts of the complete body, which the channel releases; may be empty
     */
    void answer(HttpResponseStatus status, HttpHeaders headers, List<ByteBuf> body);

    /**
     * Writes the status and headers of a stream.
     *
     * @param status the status of the answer
     * @param headers the headers of the answer, without {@code Transfer-Encoding} and other framing headers
     */
    void startStream(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Writes a part of a stream.
     *
     * @param bytes the next bytes of the body
     */
    void stream(byte[] bytes);

    /** Ends a stream normally. */
    void endStream();

    /** Aborts the answer by closing the connection, so that the caller cannot mistake it for a complete answer. */
    void abort();

    /**
     * Returns the Netty channel of the caller's connection.
     *
     * @return the channel
     */
    Channel channel();

    /**
     * Returns the memory that the connection makes the router hold.
     *
     * @return the memory of the connection
     */
    ConnectionMemory memory();
}
