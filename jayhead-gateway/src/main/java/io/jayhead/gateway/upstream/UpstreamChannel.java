package io.jayhead.gateway.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A TCP connection that can tell what has arrived on it and was not read yet. */
public final class UpstreamChannel extends NioSocketChannel {

    private final ByteBuffer probe = ByteBuffer.allocate(1);

    /**
     * Looks at what has arrived. A byte that is found is lost, so the connection must be closed unless nothing has
     * arrived. Called on the thread of the channel.
     *
     * @return what has arrived since the last read
     */
    public Unread unread() {
        probe.clear();
        try {
            return Unread.of(javaChannel().read(probe));
        } catch (IOException broken) {
            return Unread.END;
        }
    }

    /** What may have arrived on a connection before it is read. */
    public enum Unread {
        NOTHING,
        BYTES,
        /** The remote host has closed the connection, or it is broken. */
        END;

        private static Unread of(int readBytes) {
            if (readBytes == 0) {
                return NOTHING;
            }
            return readBytes > 0 ? BYTES : END;
        }
    }
}
