package io.jayhead.dispatch.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream into complete events in the server-sent events format (WHATWG HTML).
 *
 * <p>The framer buffers the bytes of an incomplete event, up to a limit. It is not thread-safe.
 */
public final class EventFramer {

    /** The longest event that is accepted; an event holds a few tokens. */
    public static final int MAX_EVENT_BYTES = 65_536;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;
    private boolean tooLong;

    /**
     * Adds bytes and returns the events that they complete. Bytes after an event that is too long are discarded.
     *
     * @param bytes the next bytes of the stream
     * @return the complete events in the order of the stream; empty if none was completed
     */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            if (pending.size() >= MAX_EVENT_BYTES) {
                tooLong = true;
                return events;
            }
            pending.write(next);
            if (next == '\r') {
                continue;
            }
            if (next != '\n') {
                lineIsEmpty = false;
                continue;
            }
            if (lineIsEmpty) {
                byte[] event = pending.toByteArray();
                pending.reset();
                events.add(new StreamEvent(event, idOf(event)));
            }
            lineIsEmpty = true;
        }
        return events;
    }

    /**
     * Tells whether an event was longer than {@link #MAX_EVENT_BYTES}, so that the stream cannot be read on.
     *
     * @return true once an event was too long
     */
    public boolean isTooLong() {
        return tooLong;
    }

    /**
     * Returns the buffered bytes of the incomplete event.
     *
     * @return the bytes after the last complete event; empty if there are none
     */
    public byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    private static String idOf(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return line.substring(ID_FIELD.length()).strip();
            }
        }
        return "";
    }
}
