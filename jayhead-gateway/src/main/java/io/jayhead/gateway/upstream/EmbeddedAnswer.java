package io.jayhead.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.util.function.Predicate;

/**
 * Looks for the head of another answer in the body of an answer, where it stands if the upstream wrote an answer once
 * more before the first one was complete. Reads each byte once.
 *
 * <p>A body may quote a head, so one inside the body counts only if it names a request of the connection. No body
 * starts with one, so there the name of the protocol is enough. In an answer that does not name its own end every head
 * counts, since another answer may follow it unnoticed.
 */
final class EmbeddedAnswer {

    /** The beginning of a status line; each {@code 0} stands for any digit. */
    private static final String STATUS_LINE = "HTTP/1.0 000";

    private static final String PROTOCOL = "HTTP/1.";
    private static final int MAX_HEAD_BYTES = 4_096;

    private final Predicate<String> isHeaderOfConnection;
    private final boolean framed;
    private final StringBuilder line = new StringBuilder(0);
    private long readBytes;
    /** How many characters of a status line the body ends with, unless it ends with a whole one. */
    private int matchedCharacters;

    private boolean protocolNamed;
    private boolean insideHead;
    private boolean insideStatusLine;
    private boolean headHasHeader;
    private int headBytes;
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
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex() && !found) {
            boolean mayBegin = matchedCharacters == 0 && !insideHead;
            int next = mayBegin ? bytes.indexOf(index, bytes.writerIndex(), (byte) STATUS_LINE.charAt(0)) : index;
            if (next < 0) {
                break;
            }
            read((char) bytes.getUnsignedByte(next), readBytes + next - bytes.readerIndex());
            index = next + 1;
        }
        readBytes += bytes.readableBytes();
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
        return !following.isEmpty() && (protocolNamed || completesStatusLine(following));
    }

    /**
     * Tells whether the body of an answer that does not name its own end has a part of another answer at its end.
     *
     * @return true if the body ends inside a head
     */
    boolean endsInsideHead() {
        return !framed && (insideHead || matchedCharacters >= PROTOCOL.length());
    }

    private boolean completesStatusLine(String following) {
        int missing = STATUS_LINE.length() - matchedCharacters;
        if (matchedCharacters == 0 || following.length() < missing) {
            return false;
        }
        for (int index = 0; index < missing; index++) {
            if (!matches(matchedCharacters + index, following.charAt(index))) {
                return false;
            }
        }
        return true;
    }

    private static boolean matches(int position, char actual) {
        char expected = STATUS_LINE.charAt(position);
        return expected == '0' ? Character.isDigit(actual) : expected == actual;
    }

    private void read(char next, long position) {
        if (matches(matchedCharacters, next)) {
            matchedCharacters++;
        } else {
            matchedCharacters = matches(0, next) ? 1 : 0;
        }
        if (matchedCharacters == PROTOCOL.length()) {
            protocolNamed = true;
            found |= position + 1 == PROTOCOL.length();
        }
        if (matchedCharacters == STATUS_LINE.length()) {
            matchedCharacters = 0;
            openHead();
        } else if (insideHead) {
            readHead(next);
        }
    }

    private void openHead() {
        insideHead = true;
        insideStatusLine = true;
        headHasHeader = false;
        headBytes = 0;
        line.setLength(0);
    }

    private void readHead(char next) {
        headBytes++;
        if (headBytes > MAX_HEAD_BYTES) {
            insideHead = false;
            return;
        }
        int last = line.length() - 1;
        if (next != '\n' || last < 0 || line.charAt(last) != '\r') {
            line.append(next);
            return;
        }
        String text = line.substring(0, last);
        line.setLength(0);
        if (insideStatusLine) {
            insideStatusLine = false;
        } else {
            readHeader(text);
        }
    }

    private void readHeader(String text) {
        boolean endsHead = text.isEmpty() && headHasHeader;
        found |= isHeaderOfConnection.test(text) || endsHead && !framed;
        headHasHeader = text.indexOf(':') > 0;
        insideHead = headHasHeader;
    }
}
