package io.jayhead.dispatch.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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
    /** Whether the last byte was a carriage return, which ends a line together with a line feed or alone. */
    private boolean afterCarriageReturn;

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
            if (afterCarriageReturn && next != '\n') {
                endLine(events);
            }
            if (pending.size() >= MAX_EVENT_BYTES) {
                tooLong = true;
                return events;
            }
            pending.write(next);
            afterCarriageReturn = next == '\r';
            if (next == '\n') {
                endLine(events);
            } else if (!afterCarriageReturn) {
                lineIsEmpty = false;
            }
        }
        return events;
    }

    private void endLine(List<StreamEvent> events) {
        if (lineIsEmpty) {
            events.add(takeEvent());
        }
        lineIsEmpty = true;
    }

    private StreamEvent takeEvent() {
        byte[] event = pending.toByteArray();
        pending.reset();
        return new StreamEvent(event, idOf(event));
    }

    /**
     * Ends the stream.
     *
     * @return the last event if a carriage return alone ends its empty line, since a line feed could still have
     *     followed; otherwise empty
     */
    public Optional<StreamEvent> end() {
        boolean complete = afterCarriageReturn && lineIsEmpty;
        afterCarriageReturn = false;
        return complete ? Optional.of(takeEvent()) : Optional.empty();
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
        for (String line : StreamEvent.LINE_END.split(text)) {
            if (line.startsWith(ID_FIELD)) {
                return line.substring(ID_FIELD.length()).strip();
            }
        }
        return "";
    }
}
