package io.jayhead.dispatch.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the bytes of a stream into whole events, as the server-sent events format (WHATWG HTML) separates them.
 *
 * <p>The framer keeps the bytes of an unfinished event; it is used by one thread.
 */
public final class EventFramer {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;

    /**
     * Adds bytes.
     *
     * @param bytes the next bytes of the stream
     * @return the events that are now complete, in their order
     */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
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
     * Returns the bytes after the last whole event.
     *
     * @return the bytes; empty at the end of an event
     */
    public byte[] rest() {
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
