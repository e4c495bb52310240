package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;
import java.util.concurrent.CompletableFuture;

/** Answers requests of other routers. */
@FunctionalInterface
public interface PeerRequestHandler {

    /**
     * Handles one request. It is called on an I/O thread and must not block.
     *
     * @param request the request
     * @return the reply; its correlation id is set by the caller
     */
    CompletableFuture<Frame> handle(Frame request);
}
