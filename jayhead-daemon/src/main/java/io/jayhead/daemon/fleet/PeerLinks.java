package io.jayhead.daemon.fleet;

import io.jayhead.daemon.control.ControlThread;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.pb.Frame;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends requests to other routers and hands the replies to the control thread. */
public final class PeerLinks {

    private final PeerClient client;
    private final ControlThread control;

    /**
     * Creates the links.
     *
     * @param client the peer client
     * @param control the control thread
     */
    public PeerLinks(PeerClient client, ControlThread control) {
        this.client = client;
        this.control = control;
    }

    /**
     * Sends a request.
     *
     * @param address the peer address of the receiver
     * @param request the request
     * @param timeoutMs the time to wait for the reply
     * @param onReply called with the reply on the control thread
     * @param onFailure called on the control thread if there is no reply
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
