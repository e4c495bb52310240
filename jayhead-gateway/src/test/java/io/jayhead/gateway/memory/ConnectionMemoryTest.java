package io.jayhead.gateway.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jayhead.admission.memory.HoldingPhase;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against charges that are lost or stay, and against heads that cost more than they are charged. */
class ConnectionMemoryTest {

    private static final long LIMIT_BYTES = 1_000_000;
    private static final int LINES = 3_000;

    private final ProcessMemory process = new ProcessMemory(LIMIT_BYTES);
    private final List<String> shed = new ArrayList<>();

    @Test
    void aBufferIsChargedUntilItsLastUserReleasesIt() {
        ConnectionMemory memory = open("caller");
        long emptyBytes = memory.holding().bytes();
        ByteBuf buffer = memory.hold(new byte[10_000]);
        ByteBuf second = buffer.retainedDuplicate();
        buffer.release();
        assertEquals(10_128 + emptyBytes, memory.holding().bytes());
        second.release();
        assertEquals(emptyBytes, memory.holding().bytes());
    }

    @Test
    void shortLinesAreChargedAtTheCostOfTheirObjects() {
        ConnectionMemory memory = open("caller");
        long emptyBytes = memory.holding().bytes();
        HttpHeaders headers = ChargedHeaders.headsOf(memory).newHeaders();
        for (int line = 0; line < LINES; line++) {
            headers.add("ab", "");
        }
        assertEquals(LINES * 130, memory.holding().bytes() - emptyBytes);
        ChargedHeaders.release(headers);
        ChargedHeaders.release(headers);
        assertEquals(emptyBytes, memory.holding().bytes());
    }

    @Test
    void aHeadOfTooManyLinesIsRefused() {
        HttpHeaders headers = ChargedHeaders.headsOf(open("caller")).newHeaders();
        for (int line = 0; line < 8_192; line++) {
            headers.add("a", "");
        }
        assertThrows(TooLongHttpHeaderException.class, () -> headers.add("a", ""));
    }

    @Test
    void bytesThatAreNotDecodedStayChargedUntilAPartIs() {
        ConnectionMemory memory = open("caller");
        long emptyBytes = memory.holding().bytes();
        memory.received(100);
        memory.settleReceived(0);
        memory.received(100);
        memory.settleReceived(0);
        assertEquals(200, memory.holding().bytes() - emptyBytes);
        memory.received(100);
        memory.decoded();
        memory.settleReceived(0);
        assertEquals(emptyBytes, memory.holding().bytes());
    }

    @Test
    void whatWaitsForItsCallerIsGivenUpUntilTheLimitIsKept() {
        ConnectionMemory running = open("running");
        running.enter(HoldingPhase.RUNNING);
        running.hold(new byte[700_000]);
        ConnectionMemory receiving = open("receiving");
        receiving.chargeHead(400_000);
        open("ordinary").shedIfExceeded();
        assertEquals(List.of("receiving"), shed);
    }

    @Test
    void aClosedConnectionHoldsOnlyBuffersThatAreInUse() {
        ConnectionMemory memory = open("caller");
        memory.chargeHead(1_000);
        memory.received(1_000);
        ByteBuf buffer = memory.hold(new byte[10_000]);
        memory.close();
        memory.close();
        assertEquals(10_128, memory.holding().bytes());
        buffer.release();
        assertEquals(0, memory.holding().bytes());
    }

    private ConnectionMemory open(String name) {
        ConnectionMemory[] opened = new ConnectionMemory[1];
        opened[0] = process.open(() -> {
            shed.add(name);
            opened[0].close();
        });
        return opened[0];
    }
}
