package io.jayhead.gateway.upstream;

import io.netty.handler.codec.CorruptedFrameException;

/** Checks the line with the size of a chunk, byte by byte, against the grammar of HTTP/1.1 (RFC 9112, section 7.1). */
final class ChunkSize {

    private static final int HEXADECIMAL = 16;
    /** As many digits as always fit into a signed number of 64 bits. */
    private static final int MAX_DIGITS = 15;

    private long sizeBytes;
    private int digits;
    private boolean afterDigits;
    private boolean insideExtension;
    private boolean afterCarriageReturn;

    /**
     * Reads the next byte.
     *
     * @param next the byte, from 0 to 255
     * @return whether it ends the line
     * @throws CorruptedFrameException if the line is no size of a chunk
     */
    boolean readEnds(int next) {
        if (next == '\n' && digits > 0) {
            return true;
        }
        if (afterCarriageReturn || digits == 0 && !isDigit(next)) {
            throw new CorruptedFrameException("no size of a chunk");
        }
        if (next == '\r') {
            afterCarriageReturn = true;
        } else if (insideExtension) {
            FieldLines.requireText(next);
        } else if (isDigit(next) && !afterDigits) {
            addDigit(next);
        } else {
            // Some servers pad the size with blanks.
            afterDigits = true;
            insideExtension = next == ';';
            if (!insideExtension && next != ' ' && next != '\t') {
                throw new CorruptedFrameException("the byte " + next + " behind the size of a chunk");
            }
        }
        return false;
    }

    private void addDigit(int next) {
        digits++;
        if (digits > MAX_DIGITS) {
            throw new CorruptedFrameException("a chunk that is too large");
        }
        sizeBytes = sizeBytes * HEXADECIMAL + Character.digit(next, HEXADECIMAL);
    }

    private static boolean isDigit(int next) {
        return Character.digit(next, HEXADECIMAL) >= 0;
    }

    /** Returns the size that the line names. */
    long sizeBytes() {
        return sizeBytes;
    }
}
