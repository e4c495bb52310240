package io.jayhead.gateway.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against a log that blocks requests because nobody reads its output, that one kind of line floods, or whose
 * lines are not valid JSON.
 */
class StructuredLogTest {

    @Test
    void outputThatNobodyReadsNeverBlocksTheWriter() {
        CountDownLatch release = new CountDownLatch(1);
        StructuredLog log = new StructuredLog(new PrintStream(new BlockedStream(release)));
        long startNs = System.nanoTime();
        for (int line = 0; line < 20_000; line++) {
            log.write(LogKind.values()[line % LogKind.values().length], "event", "line", line);
        }
        assertTrue(System.nanoTime() - startNs < 5_000_000_000L);
        assertTrue(log.droppedLines() > 18_000);
        release.countDown();
    }

    @Test
    void aFloodOfOneKindLeavesRoomForTheOthersAndIsCounted() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        StructuredLog log = new StructuredLog(new PrintStream(output));
        for (int line = 0; line < 500; line++) {
            log.write(LogKind.SERVED, "served", "request_id", "r" + line);
        }
        log.write(LogKind.FAILED, "refused", "request_id", "the failed one");
        awaitText(output, "the failed one");
        String text = output.toString(StandardCharsets.UTF_8);
        long served = text.lines().filter(line -> line.contains("\"served\"")).count();
        assertTrue(served <= 2L * LogKind.SERVED.maxPerSecond(), "served lines " + served);
        assertTrue(text.contains("lines dropped"));
    }

    @Test
    void textIsEscapedSoThatEachLineIsOneJsonObject() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new StructuredLog(new PrintStream(output)).write(LogKind.FAILED, "a\"b\nc", "age_ms", 5, "ok", true);
        awaitText(output, "age_ms");
        String text = output.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count());
        assertTrue(text.contains("\"event\":\"a\\\"b c\",\"age_ms\":5,\"ok\":true"), text);
    }

    private static void awaitText(ByteArrayOutputStream output, String text) throws InterruptedException {
        for (int round = 0; round < 500; round++) {
            if (output.toString(StandardCharsets.UTF_8).contains(text)) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no line with " + text);
    }

    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch release;

        BlockedStream(CountDownLatch release) {
            this.release = release;
        }

        @Override
        public void write(int value) {
            try {
                release.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
