package io.jayhead.gateway.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object per line without ever blocking the calling thread.
 *
 * <p>Lines above the rate limit of their kind are dropped and counted, and so are lines that find the queue full
 * because the output is not read. After the next lines that are written, a line of kind {@code log} reports the count.
 */
public final class StructuredLog {

    private static final int QUEUE_LINES = 1_024;
    private static final long SECOND_MS = 1_000;

    private final PrintStream output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<LogKind, Window> windows = new EnumMap<>(LogKind.class);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong droppedTotal = new AtomicLong();

    /**
     * Creates a log and starts its writer thread.
     *
     * @param output receives the lines in UTF-8
     */
    public StructuredLog(PrintStream output) {
        this.output = output;
        for (LogKind kind : LogKind.values()) {
            windows.put(kind, new Window());
        }
        Thread writer = new Thread(this::writeLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line for writing, or drops it.
     *
     * @param kind the kind of line
     * @param event the name of the event
     * @param fields names and values, alternating; names are not escaped
     */
    public void write(LogKind kind, String event, Object... fields) {
        long nowMs = System.currentTimeMillis();
        if (!windows.get(kind).admits(kind.maxPerSecond(), nowMs)) {
            drop();
            return;
        }
        StringBuilder line = new StringBuilder(160);
        line.append("{\"ts_ms\":").append(nowMs);
        line.append(",\"kind\":\"").append(kind.label()).append("\",\"event\":");
        LogValue.append(line, event);
        for (int index = 0; index + 1 < fields.length; index += 2) {
            line.append(",\"").append(fields[index]).append("\":");
            LogValue.append(line, fields[index + 1]);
        }
        line.append('}');
        if (!queue.offer(line.toString())) {
            drop();
        }
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return the lines dropped since the start
     */
    public long droppedLines() {
        return droppedTotal.get();
    }

    private void drop() {
        dropped.incrementAndGet();
        droppedTotal.incrementAndGet();
    }

    private void writeLines() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.append(queue.take()).append('\n');
                for (String next = queue.poll(); next != null; next = queue.poll()) {
                    batch.append(next).append('\n');
                }
                long newlyDropped = dropped.getAndSet(0);
                if (newlyDropped > 0) {
                    batch.append("{\"kind\":\"log\",\"event\":\"lines dropped\",\"count\":")
                            .append(newlyDropped)
                            .append("}\n");
                }
                byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
                output.write(bytes, 0, bytes.length);
                output.flush();
                batch.setLength(0);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Counts the lines of one kind in the current window of one second. */
    private static final class Window {
        private long startMs;
        private int lines;

        synchronized boolean admits(int max, long nowMs) {
            if (nowMs - startMs >= SECOND_MS || nowMs < startMs) {
                startMs = nowMs;
                lines = 0;
            }
            lines++;
            return lines <= max;
        }
    }
}
