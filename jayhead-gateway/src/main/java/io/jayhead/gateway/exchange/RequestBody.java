package io.jayhead.gateway.exchange;

import io.netty.handler.codec.http.FullHttpRequest;

/** Keeps the body of a request until no upstream can need it any more; used by the traffic thread. */
final class RequestBody {

    private final FullHttpRequest request;
    private boolean released;

    RequestBody(FullHttpRequest request) {
        this.request = request;
    }

    /** Releases the body; later calls do nothing. What is still being written to an upstream is not affected. */
    void release() {
        if (!released) {
            released = true;
            request.release();
        }
    }
}
