package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;

/** Observes the messages exchanged with other routers, for metrics. */
public interface PeerTrafficListener {

    /** Value used instead of the address of the other router on connections that it opened. */
    String INBOUND = "inbound";

    /** Ignores all messages. */
    PeerTrafficListener NONE = new PeerTrafficListener() {
        @Override
        public void sent(String peer, Frame frame) {
            // The message is ignored.
        }

        @Override
        public void received(String peer, Frame frame) {
            // The message is ignored.
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
