package io.jayhead.scenarios.link;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections that a relay accepts after {@link Relay#stopListening()}. The kernel keeps a closed server
 * socket open while a thread is blocked in accept; on a busy host that thread may leave accept late.
 */
class RelayTest {

    private static final int ROUNDS = 400;
    private static final int BUSY_THREADS = 16;

    @Test
    void aConnectionAfterARefusalIsNeverAcceptedWhileTheMachineIsBusy() {
        AtomicBoolean busy = new AtomicBoolean(true);
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < BUSY_THREADS; index++) {
            Thread thread = new Thread(() -> spin(busy));
            thread.start();
            threads.add(thread);
        }
        try {
            for (int round = 0; round < ROUNDS; round++) {
                refuseOnce();
            }
        } finally {
            busy.set(false);
        }
    }

    private static void refuseOnce() {
        try (Relay relay = new Relay(port -> "client")) {
            relay.stopListening();
            String[] address = relay.address().split(":");
            InetSocketAddress target = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
            assertThrows(ConnectException.class, () -> {
                try (Socket socket = new Socket()) {
                    socket.connect(target, 1_000);
                }
            });
        }
    }

    private static void spin(AtomicBoolean busy) {
        long count = 0;
        while (busy.get()) {
            count++;
        }
        if (count < 0) {
            throw new IllegalStateException("the counter overflowed");
        }
    }
}
