package io.jayhead.peer;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.peer.pb.Frame;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against another router that sends bytes which are no message, without end, and so uses up the memory. */
class EndlessPeerTest {

    private static final long LIMIT_S = 5;
    private static final long MOST_BYTES = 64L * 1024 * 1024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final CountDownLatch closed = new CountDownLatch(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** The length that each frame announces: none that is valid, the largest, or one beyond it. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 1_000_000, Integer.MAX_VALUE})
    void theServerClosesAConnectionWithoutAnyMessage(int frameBytes) throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PeerServer server = PeerServer.start(
                group,
                address,
                request -> CompletableFuture.completedFuture(Frame.getDefaultInstance()),
                PeerTrafficListener.NONE);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            writeUntilClosed(socket, frameBytes);
        }
        assertTrue(closed.await(LIMIT_S, TimeUnit.SECONDS), "the connection is still read");
        server.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 1_000_000, Integer.MAX_VALUE})
    void theClientClosesAConnectionWithoutAnyReply(int frameBytes) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> accept(server, frameBytes));
            thread.setDaemon(true);
            thread.start();
            PeerClient client = PeerClient.of(group, PeerTrafficListener.NONE);
            CompletableFuture<Frame> reply = client.request(
                    new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                    Frame.getDefaultInstance(),
                    LIMIT_S * 1_000);
            assertThrows(ExecutionException.class, () -> reply.get(LIMIT_S, TimeUnit.SECONDS));
            assertTrue(closed.await(LIMIT_S, TimeUnit.SECONDS), "the connection is still read");
        }
    }

    private void accept(ServerSocket server, int frameBytes) {
        try (Socket socket = server.accept()) {
            writeUntilClosed(socket, frameBytes);
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    private void writeUntilClosed(Socket socket, int frameBytes) {
        byte[] frame = new byte[Integer.BYTES + 1_000_000];
        ByteBuffer.wrap(frame).putInt(frameBytes);
        Arrays.fill(frame, Integer.BYTES, frame.length, (byte) 0xff);
        try {
            OutputStream output = socket.getOutputStream();
            for (long sent = 0; sent < MOST_BYTES; sent += frame.length) {
                output.write(frame);
            }
        } catch (IOException connectionClosed) {
            closed.countDown();
        }
    }
}
