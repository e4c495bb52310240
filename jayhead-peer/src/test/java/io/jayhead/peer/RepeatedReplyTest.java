package io.jayhead.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.peer.pb.Borrow;
import io.jayhead.peer.pb.BorrowReply;
import io.jayhead.peer.pb.Frame;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tokens that are credited twice, because another router wrote an earlier reply once more, whole or in
 * part, on the same connection.
 */
class RepeatedReplyTest {

    private static final long TIMEOUT_MS = 150;
    private static final long SETTLE_MS = 5;
    private static final long FIRST_TOKENS = 1_000_000;
    private static final long SECOND_TOKENS = 7;
    /** The bytes of a frame with a reply to a first request, as {@link #frame} encodes it. */
    private static final int FRAME_BYTES = frame(1, FIRST_TOKENS).length;

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    RepeatedReplyTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aWholeCopyIsNotTheReplyToTheNextRequest(boolean beforeTheRequest) throws Exception {
        assertEquals(SECOND_TOKENS + " tokens", secondReply(beforeTheRequest, FRAME_BYTES));
    }

    @Test
    void aPartOfACopyBringsNoTokens() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (int copiedBytes = 1; copiedBytes < FRAME_BYTES; copiedBytes++) {
            for (boolean beforeTheRequest : new boolean[] {true, false}) {
                String seen = secondReply(beforeTheRequest, copiedBytes);
                if (!seen.startsWith("failed") && !seen.equals(SECOND_TOKENS + " tokens")) {
                    wrong.add(copiedBytes + " bytes: " + seen);
                }
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    /** Returns what the second request on a connection is told, of which the first one was answered before. */
    private String secondReply(boolean copyBeforeRequest, int copiedBytes) throws Exception {
        Thread thread = new Thread(() -> serve(copyBeforeRequest, copiedBytes));
        thread.setDaemon(true);
        thread.start();
        try (PeerClient client = PeerClient.of(group, PeerTrafficListener.NONE)) {
            assertEquals(FIRST_TOKENS + " tokens", describe(request(client, 2_000)));
            if (copyBeforeRequest) {
                Thread.sleep(2 * SETTLE_MS);
            }
            return describe(request(client, TIMEOUT_MS));
        }
    }

    private CompletableFuture<Frame> request(PeerClient client, long timeoutMs) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        return client.request(
                address,
                Frame.newBuilder().setBorrow(Borrow.newBuilder().setTokens(1)).build(),
                timeoutMs);
    }

    private static String describe(CompletableFuture<Frame> reply) throws Exception {
        try {
            return reply.get(5, TimeUnit.SECONDS).getBorrowReply().getTokens() + " tokens";
        } catch (ExecutionException failure) {
            return "failed: " + failure.getCause();
        }
    }

    private void serve(boolean copyBeforeRequest, int copiedBytes) {
        try (Socket socket = server.accept()) {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            byte[] first = frame(correlationOfNext(input), FIRST_TOKENS);
            byte[] copy = Arrays.copyOf(first, copiedBytes);
            socket.getOutputStream().write(first);
            if (copyBeforeRequest) {
                Thread.sleep(SETTLE_MS);
                socket.getOutputStream().write(copy);
            }
            byte[] second = frame(correlationOfNext(input), SECOND_TOKENS);
            if (!copyBeforeRequest) {
                socket.getOutputStream().write(copy);
            }
            socket.getOutputStream().write(second);
            input.read();
        } catch (IOException | InterruptedException closed) {
            // The client closed the connection.
            return;
        }
    }

    private static long correlationOfNext(DataInputStream input) throws IOException {
        return Frame.parseFrom(input.readNBytes(input.readInt())).getCorrelation();
    }

    private static byte[] frame(long correlation, long tokens) {
        BorrowReply reply = BorrowReply.newBuilder()
                .setTransferId("4f3e2d1c0b5a6978")
                .setTokens(tokens)
                .build();
        byte[] message = Frame.newBuilder()
                .setCorrelation(correlation)
                .setReply(true)
                .setBorrowReply(reply)
                .build()
                .toByteArray();
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }
}
