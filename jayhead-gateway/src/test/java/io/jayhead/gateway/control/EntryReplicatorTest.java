package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerServer;
import io.jayhead.peer.PeerTrafficListener;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.ReplicateEntries;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against entries that no other router knows. */
class EntryReplicatorTest {

    private static final long ANSWER_LIMIT_S = 5;
    private static final Map<String, LedgerEntry> ENTRIES = Map.of("shop", new LedgerEntry(900, 10));

    private final NioEventLoopGroup group = new NioEventLoopGroup(2);
    private final EventLoop loop = group.next();
    private final EntryReplicator replicator = new EntryReplicator(
            new RouterAddress("vm-2", address(1)),
            "vm-2/100/a",
            PeerClient.of(group, PeerTrafficListener.NONE),
            loop,
            new StructuredLog(new PrintStream(OutputStream.nullOutputStream())));

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void theNextTwoRoutersAreReplicas() throws Exception {
        Receiver first = new Receiver("vm-3/100/b");
        Receiver second = new Receiver("vm-1/100/c");
        onLoop(() -> replicator.routersChanged(List.of(first.router("vm-3"), second.router("vm-1"))));
        onLoop(() -> replicator.entriesChanged(ENTRIES));
        assertEquals(900, first.next().getEntries(0).getTakenTokens());
        assertEquals("vm-2/100/a", second.next().getHolder());
    }

    @Test
    void entriesThatChangeBeforeAnyRouterIsKnownAreSentLater() throws Exception {
        Receiver receiver = new Receiver("vm-3/100/b");
        onLoop(() -> replicator.entriesChanged(ENTRIES));
        onLoop(() -> replicator.routersChanged(List.of(receiver.router("vm-3"))));
        assertEquals(1, receiver.next().getEntriesCount());
    }

    @Test
    void aRouterThatCannotBeReachedIsReplacedByTheNextOne() throws Exception {
        Receiver receiver = new Receiver("vm-5/100/b");
        onLoop(() -> replicator.routersChanged(List.of(
                new RouterAddress("vm-3", address(1)),
                new RouterAddress("vm-4", address(1)),
                receiver.router("vm-5"))));
        onLoop(() -> replicator.entriesChanged(ENTRIES));
        assertEquals(1, receiver.next().getEntriesCount());
    }

    @Test
    void aNewIncarnationOfAReplicaIsSentAllEntriesAgain() throws Exception {
        Receiver receiver = new Receiver("vm-3/100/b");
        onLoop(() -> replicator.routersChanged(List.of(receiver.router("vm-3"))));
        onLoop(() -> replicator.entriesChanged(ENTRIES));
        receiver.next();
        receiver.incarnation = "vm-3/200/c";
        onLoop(() -> replicator.entriesChanged(Map.of("museum", new LedgerEntry(1, 0))));
        assertEquals(1, receiver.next().getEntriesCount());
        assertEquals(2, receiver.next().getEntriesCount());
    }

    private void onLoop(Runnable call) {
        loop.submit(call).syncUninterruptibly();
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Stands in for another router. */
    private final class Receiver {

        private final BlockingQueue<ReplicateEntries> messages = new LinkedBlockingQueue<>();
        private final PeerServer server;
        private volatile String incarnation;

        Receiver(String incarnation) {
            this.incarnation = incarnation;
            this.server = PeerServer.start(
                    group,
                    address(0),
                    request -> {
                        Frame reply = ReplicationMessages.reply(this.incarnation);
                        messages.add(request.getReplicateEntries());
                        return CompletableFuture.completedFuture(reply);
                    },
                    PeerTrafficListener.NONE);
        }

        RouterAddress router(String vmName) {
            return new RouterAddress(vmName, address(server.port()));
        }

        ReplicateEntries next() throws InterruptedException {
            ReplicateEntries message = messages.poll(ANSWER_LIMIT_S, TimeUnit.SECONDS);
            assertTrue(message != null, "no message");
            return message;
        }
    }
}
