package io.jayhead.daemon.fleet;

import io.jayhead.daemon.control.ControlThread;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.pb.Frame;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends requests to other routers, and runs the callbacks for the replies on the control thread. */
public final class PeerLinks {

    private final PeerClient client;
    private final ControlThread control;

    /**
     * Creates the links.
     *
     * @param client sends the requests
     * @param control the thread on which the callbacks run
     */
    public PeerLinks(PeerClient client, ControlThread control) {
        this.client = client;
        this.control = control;
    }

    /**
     * Sends a request and returns immediately. Exactly one of the two callbacks is run, on the control thread.
     *
     * @param address the peer address of the receiver
     * @param request the request
     * @param timeoutMs the time to wait for the reply, in milliseconds
     * @param onReply receives the reply
     * @param onFailure called if no reply arrives in time or the request fails
     */
    public void send(
            InetSocketAddress address, Frame request, long timeoutMs, Consumer<Frame> onReply, Runnable onFailure) {
        client.request(address, request, timeoutMs)
                .whenComplete((reply, failure) -> control.execute(() -> {
                    if (failure == null) {
                        onReply.accept(reply);
                    } else {
                        onFailure.run();
                    }
                }));
    }
}
