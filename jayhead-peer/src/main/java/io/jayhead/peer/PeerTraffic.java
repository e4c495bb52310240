package io.jayhead.peer;

import io.jayhead.peer.pb.Frame;

/** Observes the messages exchanged with other routers, for metrics. */
public interface PeerTraffic {

    /** Ignores all messages. */
    PeerTraffic NONE = new PeerTraffic() {
        @Override
        public void sent(Frame frame) {
            // Nothing is counted.
        }

        @Override
        public void received(Frame frame) {
            // Nothing is counted.
        }
    };

    /**
     * Observes a message sent.
     *
     * @param frame the message
     */
    void sent(Frame frame);

    /**
     * Observes a message received.
     *
     * @param frame the message
     */
    void received(Frame frame);
}
