package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a check of the syntax that loses its place, so that it refuses sound answers or passes odd ones,
 * depending on where the network splits them.
 */
class AnswerDecoderTest {

    private static final String REFUSED = "refused";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nA: b\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Length: 5\r\n\r\n:\r\n\u0000\n",
                HEAD + "Content-Length: 0\r\n\r\n",
                HEAD + "\r\nno length: \u0001\r\n",
                CHUNKED + "5\r\na\r\n0\r\r\n1;x\r\n\n\r\n0\r\n\r\n",
                CHUNKED + "0a\r\n0123456789\r\n0\r\nTrailer: x\r\nOther:\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + "1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + HEAD + "Content-Length: 1\r\n\r\nx",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
            })
    void aSoundAnswerIsDecodedInAnyParts(String answer) {
        String whole = decode(answer, answer.length());
        for (int length = 1; length < answer.length(); length++) {
            assertEquals(whole, decode(answer, length), "parts of " + length);
        }
        assertFalse(whole.contains(REFUSED), whole);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nx",
                "\r\n" + HEAD + "Content-Length: 1\r\n\r\nx",
                HEAD + "Odd Name: x\r\nContent-Length: 1\r\n\r\nx",
                HEAD + "Content-Length : 1\r\n\r\nx",
                HEAD + " Content-Length: 1\r\n\r\nx",
                HEAD + "word\r\nContent-Length: 1\r\n\r\nx",
                CHUNKED + "1 1\r\nx\r\n0\r\n\r\n",
                CHUNKED + "1\r\nxy\r\n0\r\n\r\n",
                CHUNKED + "1\r\nx\r\r\n0\r\n\r\n",
                CHUNKED + "1\r\nx\r\n0\r\nOdd Name: x\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + HEAD + "Content-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
            })
    void anOddAnswerIsNeverCompleteInAnyParts(String answer) {
        for (int length = 1; length <= answer.length(); length++) {
            String decoded = decode(answer, length);
            assertTrue(decoded.contains(REFUSED), () -> decoded);
            assertFalse(decoded.substring(0, decoded.indexOf(REFUSED)).contains(" end "), () -> decoded);
        }
    }

    /** Returns what is decoded until the answer ends, is refused or the connection closes. */
    private static String decode(String answer, int partLength) {
        AnswerDecoder decoder = new AnswerDecoder(() -> {});
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.openRequest(HttpMethod.POST);
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        StringBuilder decoded = new StringBuilder();
        try {
            for (int start = 0; start < bytes.length; start += partLength) {
                byte[] part = Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + partLength));
                channel.writeInbound(Unpooled.wrappedBuffer(part));
                describe(channel, decoded);
            }
            channel.finish();
            describe(channel, decoded);
        } catch (CorruptedFrameException noAnswer) {
            describe(channel, decoded);
            decoded.append(REFUSED);
        }
        return decoded.toString();
    }

    private static void describe(EmbeddedChannel channel, StringBuilder decoded) {
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            HttpObject part = (HttpObject) message;
            if (part.decoderResult().isFailure()) {
                decoded.append(REFUSED);
            }
            if (part instanceof HttpResponse head) {
                decoded.append(head.status().code()).append(head.headers().entries());
            }
            if (part instanceof HttpContent content) {
                decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (part instanceof LastHttpContent) {
                decoded.append(" end ");
            }
            ReferenceCountUtil.release(message);
        }
    }
}
