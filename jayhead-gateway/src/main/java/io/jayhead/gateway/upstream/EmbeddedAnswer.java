package io.jayhead.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * Looks for the head of another answer in the body of an answer, where it stands if the upstream wrote an answer once
 * more before the first one was complete.
 *
 * <p>A body may quote a head, so one inside the body counts only if it names a request of the connection. No
 * body starts with one, so there the name of the protocol is enough. In an answer that does not name its own end every
 * head counts, since another answer may follow it unnoticed.
 */
final class EmbeddedAnswer {

    /** The beginning of a status line; each {@code 0} stands for any digit. */
    private static final String STATUS_LINE = "HTTP/1.0 000";

    private static final String PROTOCOL = "HTTP/1.";
    private static final int MAX_HEAD_BYTES = 4_096;
    private static final String LINE_END = "\r\n";

    private final Predicate<String> isHeaderOfConnection;
    private final boolean framed;
    /** The body from the first place on at which a head may have begun; empty if there is none. */
    private String pending = "";

    /** The first bytes of the body, as many as the protocol has. */
    private String start = "";

    private boolean protocolNamed;
    private boolean found;

    /**
     * Creates a search in an empty body.
     *
     * @param isHeaderOfConnection tells whether a header line names a request of the connection
     * @param framed whether the answer names its own end
     */
    EmbeddedAnswer(Predicate<String> isHeaderOfConnection, boolean framed) {
        this.isHeaderOfConnection = isHeaderOfConnection;
        this.framed = framed;
    }

    /**
     * Searches the next bytes of the body.
     *
     * @param bytes the bytes; their reader index stays where it is
     * @return true if the body has the head of another answer
     */
    boolean add(ByteBuf bytes) {
        addToStart(bytes);
        found |= start.equals(PROTOCOL);
        boolean mayBegin = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) STATUS_LINE.charAt(0)) >= 0;
        if (found || pending.isEmpty() && !mayBegin) {
            return found;
        }
        String text = pending + bytes.toString(StandardCharsets.ISO_8859_1);
        protocolNamed |= text.contains(PROTOCOL);
        int head = nextHead(text, 0);
        while (head < text.length() && isRefuted(text, head)) {
            head = nextHead(text, head + 1);
        }
        pending = text.substring(head);
        return found;
    }

    /**
     * Tells whether bytes that follow the body show that a part of another answer is in it: they go on with a status
     * line, or were displaced by a part of one.
     *
     * @param following the bytes that have been received behind the end of the body
     * @return true if the body has a part of another answer
     */
    boolean isShownBy(String following) {
        if (following.isEmpty()) {
            return false;
        }
        String head = pending + following;
        boolean goesOn = !pending.isEmpty() && head.length() >= STATUS_LINE.length() && beginsHead(head, 0);
        return protocolNamed || goesOn;
    }

    /**
     * Tells whether the body of an answer that does not name its own end has a part of another answer at its end.
     *
     * @return true if the body ends inside a head
     */
    boolean endsInsideHead() {
        return !framed && pending.length() >= PROTOCOL.length();
    }

    private void addToStart(ByteBuf bytes) {
        int missing = PROTOCOL.length() - start.length();
        if (missing > 0) {
            int length = Math.min(missing, bytes.readableBytes());
            start += bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the next place at which a head may begin, or the length of the text. */
    private static int nextHead(String text, int from) {
        int at = from;
        while (at < text.length() && !beginsHead(text, at)) {
            at++;
        }
        return at;
    }

    private static boolean beginsHead(String text, int at) {
        int length = Math.min(STATUS_LINE.length(), text.length() - at);
        for (int index = 0; index < length; index++) {
            char expected = STATUS_LINE.charAt(index);
            char actual = text.charAt(at + index);
            boolean matches = expected == '0' ? Character.isDigit(actual) : expected == actual;
            if (!matches) {
                return false;
            }
        }
        return true;
    }

    /** Reads the complete lines behind a status line; returns whether they are not those of another answer's head. */
    private boolean isRefuted(String text, int head) {
        boolean hasHeader = false;
        int lineEnd = text.indexOf(LINE_END, head);
        while (lineEnd >= 0 && lineEnd - head <= MAX_HEAD_BYTES) {
            int start = lineEnd + LINE_END.length();
            lineEnd = text.indexOf(LINE_END, start);
            if (lineEnd < 0) {
                break;
            }
            String line = text.substring(start, lineEnd);
            if (isHeaderOfConnection.test(line)) {
                found = true;
                return false;
            }
            if (line.isEmpty() && hasHeader && !framed) {
                found = true;
                return false;
            }
            hasHeader = line.indexOf(':') > 0;
            if (!hasHeader) {
                return true;
            }
        }
        return text.length() - head > MAX_HEAD_BYTES;
    }
}
