package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;

/** Observes the messages exchanged with other routers, for metrics. */
public interface PeerTraffic {

    /** Stands for the address of a router that opened the connection. */
    String INBOUND = "inbound";

    /** Ignores all messages. */
    PeerTraffic NONE = new PeerTraffic() {
        @Override
        public void sent(String peer, Frame frame) {
            // Nothing is counted.
        }

        @Override
        public void received(String peer, Frame frame) {
            // Nothing is counted.
        }
    };

    /**
     * Observes a message sent.
     *
     * @param peer the address of the other router, or {@link #INBOUND} on a connection that it opened
     * @param frame the message
     */
    void sent(String peer, Frame frame);

    /**
     * Observes a message received.
     *
     * @param peer the address of the other router, or {@link #INBOUND} on a connection that it opened
     * @param frame the message
     */
    void received(String peer, Frame frame);
}
