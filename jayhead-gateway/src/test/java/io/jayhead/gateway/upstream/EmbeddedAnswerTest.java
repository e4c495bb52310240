package io.jayhead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against bodies that quote a head and are taken for mixed ones, and mixed ones that are not noticed. */
class EmbeddedAnswerTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nServer: x\r\nId: r1\r\nAge: 1\r\n\r\n";

    private final AtomicInteger linesRead = new AtomicInteger();
    private final EmbeddedAnswer body = new EmbeddedAnswer(
            line -> {
                linesRead.incrementAndGet();
                return line.equals("Id: r1");
            },
            true);

    @Test
    void aHeadOfTheConnectionIsNoticedHoweverItIsDividedIntoReads() {
        for (int length = 1; length < HEAD.length(); length++) {
            EmbeddedAnswer divided = new EmbeddedAnswer(line -> line.equals("Id: r1"), true);
            boolean found = false;
            String text = "some text HTTP " + HEAD;
            for (int from = 0; from < text.length(); from += length) {
                found = divided.add(bytes(text.substring(from, Math.min(from + length, text.length()))));
            }
            assertTrue(found, "reads of " + length);
        }
    }

    @Test
    void aQuotedHeadOfAnotherConnectionIsAPartOfTheBody() {
        assertFalse(body.add(bytes("an example: " + HEAD.replace("r1", "r2") + "HTTP/1.1 404 Not Found\r\n\r\nend")));
        assertFalse(body.isShownBy(""));
    }

    @Test
    void aBodyThatStartsWithTheProtocolIsNoticed() {
        assertFalse(body.add(bytes("HTTP")));
        assertTrue(body.add(bytes("/1.{\"booking\":1}")));
    }

    @Test
    void aStatusLineThatGoesOnBehindTheBodyIsNoticed() {
        for (int length = 1; length < "HTTP/1.1 200".length(); length++) {
            EmbeddedAnswer cut = new EmbeddedAnswer(line -> false, true);
            assertFalse(cut.add(bytes("a body " + HEAD.substring(0, length))));
            assertTrue(cut.isShownBy(HEAD.substring(length)), "after " + length);
        }
    }

    @Test
    void aHeadAtTheEndOfABodyWithoutALengthIsNoticed() {
        for (int length = "HTTP/1.".length(); length < HEAD.length(); length++) {
            EmbeddedAnswer unframed = new EmbeddedAnswer(line -> false, false);
            boolean found = unframed.add(bytes("a body " + HEAD.substring(0, length)));
            assertTrue(found || unframed.endsInsideHead(), "after " + length);
        }
    }

    @Test
    void aBodyWithoutALengthMayNameTheProtocol() {
        EmbeddedAnswer unframed = new EmbeddedAnswer(line -> false, false);
        assertFalse(unframed.add(bytes("data: HTTP/1.1 is older than HTTP/2; HTTP/1.1 404 says\r\n\r\n")));
        assertFalse(unframed.endsInsideHead());
    }

    @Test
    void bytesBehindABodySayNothingAgainstIt() {
        assertFalse(body.add(bytes("a body that ends with H")));
        assertFalse(body.isShownBy("extra bytes"));
        assertFalse(body.isShownBy(HEAD));
    }

    @Test
    void noHeaderIsReadMoreThanOnceHoweverManyStatusLinesABodyHas() {
        int count = 1_000;
        String text = "Log:\r\n" + "HTTP/1.1 200 HTTP/1.1 200:\r\nx: HTTP/1.1 404 y\r\nz: 1\r\n".repeat(count);
        assertFalse(body.add(bytes(text)));
        assertTrue(linesRead.get() <= 2 * count, linesRead + " lines");
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
