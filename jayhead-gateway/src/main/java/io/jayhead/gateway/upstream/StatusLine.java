package io.jayhead.gateway.upstream;

import io.netty.handler.codec.CorruptedFrameException;

/** Checks the status line of an answer, byte by byte, against the grammar of HTTP/1.1 (RFC 9112, section 4). */
final class StatusLine {

    /** The line up to the reason phrase: {@code v} is the minor version, {@code c} a class, {@code d} a digit. */
    private static final String FORM = "HTTP/1.v cdd";

    private int readBytes;
    private boolean afterCarriageReturn;

    /**
     * Reads the next byte.
     *
     * @param next the byte, from 0 to 255
     * @return whether it ends the line
     * @throws CorruptedFrameException if the line is no status line of HTTP/1.0 or 1.1 with a status from 100 to 599
     */
    boolean readEnds(int next) {
        boolean hasStatus = readBytes >= FORM.length();
        if (next == '\n' && hasStatus) {
            return true;
        }
        if (afterCarriageReturn) {
            throw new CorruptedFrameException("a carriage return inside a status line");
        }
        if (next == '\r' && hasStatus) {
            afterCarriageReturn = true;
            return false;
        }
        if (!isExpected(next)) {
            throw new CorruptedFrameException("a status line with the byte " + next + " at " + readBytes);
        }
        readBytes++;
        return false;
    }

    private boolean isExpected(int next) {
        if (readBytes == FORM.length()) {
            return next == ' ';
        }
        if (readBytes > FORM.length()) {
            FieldLines.requireText(next);
            return true;
        }
        return switch (FORM.charAt(readBytes)) {
            case 'v' -> next == '0' || next == '1';
            case 'c' -> next >= '1' && next <= '5';
            case 'd' -> next >= '0' && next <= '9';
            default -> next == FORM.charAt(readBytes);
        };
    }
}
