package io.jayhead.gateway.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.memory.ConnectionMemory;
import io.jayhead.gateway.memory.ProcessMemory;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against bodies that cost many times their bytes, and against bodies that are changed on their way. */
class BodyPagesTest {

    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final String HEAD = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ConnectionMemory memory = new ProcessMemory().open(() -> {});
    private final long emptyBytes = memory.holding().bytes();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            new InboundPieces(memory),
            new HttpRequestDecoder(),
            new BodyPages(memory),
            new RequestAggregator(MAX_BODY_BYTES, () -> false));

    @Test
    void aBodyInChunksOfOneByteCostsLittleMoreThanItsBytes() {
        int length = 100_000;
        write(HEAD + "1\r\nx\r\n".repeat(length));
        long heldBytes = memory.holding().bytes() - emptyBytes;
        assertTrue(heldBytes >= length && heldBytes < 2 * length, heldBytes + " bytes are held");
        write("0\r\n\r\n");
        FullHttpRequest request = channel.readInbound();
        assertEquals("x".repeat(length), request.content().toString(StandardCharsets.US_ASCII));
        request.release();
        assertEquals(emptyBytes, memory.holding().bytes());
    }

    @Test
    void aBodyOfManyPagesArrivesAsItWasSent() {
        StringBuilder body = new StringBuilder();
        for (int number = 0; body.length() < 1_000_000; number++) {
            body.append(number).append(' ');
        }
        write("POST / HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        FullHttpRequest request = channel.readInbound();
        assertEquals(body.toString(), request.content().toString(StandardCharsets.US_ASCII));
        request.release();
        assertEquals(emptyBytes, memory.holding().bytes());
    }

    @Test
    void anUnfinishedBodyIsReleasedWithItsConnection() {
        write(HEAD + "5\r\nhello\r\n");
        assertTrue(memory.holding().bytes() > emptyBytes);
        channel.close();
        memory.close();
        assertEquals(0, memory.holding().bytes());
    }

    private void write(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        channel.writeInbound(bytes);
    }
}
