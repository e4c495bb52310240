package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jayhead.gateway.upstream.UpstreamChannel.Unread;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that is sent although bytes that came before it are still in the socket. */
class UpstreamChannelTest {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long ARRIVAL_MS = 100;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private ServerSocket server;
    private UpstreamChannel channel;
    private Socket remote;

    @BeforeEach
    void connect() throws Exception {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        channel = (UpstreamChannel)
                Connector.connect(loop, address, CONNECT_TIMEOUT_MS, new ChannelInboundHandlerAdapter())
                        .sync()
                        .channel();
        remote = server.accept();
    }

    @AfterEach
    void close() throws IOException {
        remote.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void nothingIsUnreadOnAQuietConnection() throws Exception {
        assertEquals(Unread.NOTHING, unreadAfter(() -> {}));
    }

    @Test
    void bytesThatWereNotReadYetAreSeen() throws Exception {
        assertEquals(Unread.BYTES, unreadAfter(() -> remote.getOutputStream().write('H')));
    }

    @Test
    void aCloseThatWasNotReadYetIsSeen() throws Exception {
        assertEquals(Unread.END, unreadAfter(remote::close));
    }

    @Test
    void aResetThatWasNotReadYetIsSeen() throws Exception {
        assertEquals(Unread.END, unreadAfter(() -> {
            remote.setSoLinger(true, 0);
            remote.close();
        }));
    }

    /** Keeps the thread of the channel busy while the remote host acts, so that nothing is read in between. */
    private Unread unreadAfter(RemoteAction action) throws Exception {
        return loop.submit(() -> {
                    action.run();
                    Thread.sleep(ARRIVAL_MS);
                    return channel.unread();
                })
                .get();
    }

    private interface RemoteAction {
        void run() throws IOException;
    }
}
