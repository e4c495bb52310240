package io.jayhead.gateway.memory;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Headers whose lines are charged to a connection as they are decoded, at the cost of their objects. */
public final class ChargedHeaders extends DefaultHttpHeaders {

    /** The objects of one line: entry, name and value. A line of a few bytes costs hardly less than one of fifty. */
    private static final int LINE_OBJECT_BYTES = 128;
    /** A head of 16 KB has at most 5,461 lines, of three bytes each. */
    private static final int MAX_LINES = 8_192;

    private final ConnectionMemory memory;
    private int lines;
    private int chargedBytes;

    private ChargedHeaders(ConnectionMemory memory, DefaultHttpHeadersFactory validators) {
        super(validators.getNameValidator(), validators.getValueValidator());
        this.memory = memory;
    }

    /**
     * Creates the headers of requests.
     *
     * @param memory the memory of the connection
     * @return a factory for the heads of the connection
     */
    public static HttpHeadersFactory headsOf(ConnectionMemory memory) {
        return new Factory(memory, DefaultHttpHeadersFactory.headersFactory());
    }

    /**
     * Creates the trailing headers of requests.
     *
     * @param memory the memory of the connection
     * @return a factory for the trailers of the connection
     */
    public static HttpHeadersFactory trailersOf(ConnectionMemory memory) {
        return new Factory(memory, DefaultHttpHeadersFactory.trailersFactory());
    }

    /**
     * Ends the charge of the headers of a request that has ended; does nothing for other headers.
     *
     * @param headers the headers
     */
    public static void release(HttpHeaders headers) {
        if (headers instanceof ChargedHeaders charged) {
            charged.memory.releaseHead(charged.chargedBytes);
            charged.chargedBytes = 0;
        }
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        charge(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        charge(name, value);
        return super.add(name, value);
    }

    private void charge(CharSequence name, Object value) {
        lines++;
        if (lines > MAX_LINES) {
            throw new TooLongHttpHeaderException("the head has more than " + MAX_LINES + " lines");
        }
        int bytes = LINE_OBJECT_BYTES + name.length() + (value instanceof CharSequence text ? text.length() : 0);
        chargedBytes += bytes;
        memory.chargeHead(bytes);
    }

    private record Factory(ConnectionMemory memory, DefaultHttpHeadersFactory validators)
            implements HttpHeadersFactory {

        @Override
        public HttpHeaders newHeaders() {
            return new ChargedHeaders(memory, validators);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }
}
