package io.jayhead.gateway.upstream;

import io.netty.handler.codec.CorruptedFrameException;

/**
 * Checks the field lines of a head or a trailer section, byte by byte, against the grammar of HTTP/1.1 (RFC 9112,
 * section 5, and RFC 9110, section 5). Lines are not kept.
 *
 * <p>White space between a name and its colon, and lines that continue others, are refused: RFC 9112 lets a proxy
 * discard such an answer, and they are a sign that bytes are missing or misplaced.
 */
final class FieldLines {

    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private Position position = Position.LINE_START;
    private boolean afterCarriageReturn;

    /**
     * Reads the next byte.
     *
     * @param next the byte, from 0 to 255
     * @return whether it ends the empty line behind the last field line
     * @throws CorruptedFrameException if the line is no field line
     */
    boolean readEnds(int next) {
        if (next == '\n') {
            return endLine();
        }
        if (afterCarriageReturn) {
            throw new CorruptedFrameException("a carriage return inside a field line");
        }
        if (next == '\r') {
            afterCarriageReturn = true;
        } else if (position == Position.VALUE) {
            requireText(next);
        } else {
            readName(next);
        }
        return false;
    }

    private boolean endLine() {
        if (position == Position.NAME) {
            throw new CorruptedFrameException("a field line without a colon");
        }
        boolean empty = position == Position.LINE_START;
        position = Position.LINE_START;
        afterCarriageReturn = false;
        return empty;
    }

    private void readName(int next) {
        if (next == ':' && position == Position.NAME) {
            position = Position.VALUE;
        } else if (isTokenCharacter(next)) {
            position = Position.NAME;
        } else {
            throw new CorruptedFrameException("a field name with the byte " + next);
        }
    }

    /**
     * Checks a byte of a field value, a reason phrase or a chunk extension.
     *
     * @param next the byte, from 0 to 255
     * @throws CorruptedFrameException if it is a control character other than a tab
     */
    static void requireText(int next) {
        boolean isText = next == '\t' || next >= ' ' && next != DELETE;
        if (!isText) {
            throw new CorruptedFrameException("a control character " + next + " in a head");
        }
    }

    private static boolean isTokenCharacter(int next) {
        return next >= 'a' && next <= 'z'
                || next >= 'A' && next <= 'Z'
                || next >= '0' && next <= '9'
                || TOKEN_PUNCTUATION.indexOf(next) >= 0;
    }

    private enum Position {
        LINE_START,
        NAME,
        VALUE
    }
}
