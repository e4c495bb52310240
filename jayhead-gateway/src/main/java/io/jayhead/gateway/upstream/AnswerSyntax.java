package io.jayhead.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;

/**
 * Checks the heads, chunks and trailers on a connection against the grammar of HTTP/1.1. A decoder that reads leniently
 * makes an answer of bytes that are none, for example a length of a line that only resembles the header.
 *
 * <p>It receives all bytes that the decoder has read, in order, and learns from it where heads and answers end. Bodies
 * with a length, or without one, are passed over.
 */
final class AnswerSyntax {

    private Part part = Part.STATUS_LINE;
    private StatusLine statusLine = new StatusLine();
    private FieldLines fieldLines = new FieldLines();
    private ChunkSize chunkSize = new ChunkSize();
    private long chunkBytesLeft;

    /** Starts to expect the status line of an answer. */
    void beginAnswer() {
        part = Part.STATUS_LINE;
        statusLine = new StatusLine();
        fieldLines = new FieldLines();
    }

    /** Starts to expect the chunks of an answer whose head has ended. */
    void beginChunks() {
        part = Part.CHUNK_SIZE;
        chunkSize = new ChunkSize();
    }

    /**
     * Checks the next bytes.
     *
     * @param bytes holds the bytes; its indexes stay where they are
     * @param start the index of the first byte
     * @param end the index behind the last byte
     * @throws CorruptedFrameException if the bytes are no part of an answer
     */
    void read(ByteBuf bytes, int start, int end) {
        int index = start;
        while (index < end && part != Part.PASSED_OVER) {
            if (part == Part.CHUNK_DATA) {
                long skipped = Math.min(chunkBytesLeft, end - index);
                index += (int) skipped;
                skipChunkBytes(skipped);
            } else {
                readByte(bytes.getUnsignedByte(index));
                index++;
            }
        }
    }

    private void skipChunkBytes(long count) {
        chunkBytesLeft -= count;
        if (chunkBytesLeft == 0) {
            part = Part.CHUNK_END;
        }
    }

    private void readByte(int next) {
        switch (part) {
            case STATUS_LINE -> {
                if (statusLine.readEnds(next)) {
                    part = Part.HEAD_FIELDS;
                }
            }
            case HEAD_FIELDS, TRAILERS -> {
                if (fieldLines.readEnds(next)) {
                    part = Part.PASSED_OVER;
                }
            }
            case CHUNK_SIZE -> {
                if (chunkSize.readEnds(next)) {
                    beginChunk();
                }
            }
            case CHUNK_END, CHUNK_END_LINE_FEED -> readChunkEnd(next);
            default -> throw new IllegalStateException("no byte is read in " + part);
        }
    }

    private void beginChunk() {
        chunkBytesLeft = chunkSize.sizeBytes();
        chunkSize = new ChunkSize();
        part = chunkBytesLeft > 0 ? Part.CHUNK_DATA : Part.TRAILERS;
    }

    private void readChunkEnd(int next) {
        if (next == '\n') {
            part = Part.CHUNK_SIZE;
        } else if (next == '\r' && part == Part.CHUNK_END) {
            part = Part.CHUNK_END_LINE_FEED;
        } else {
            throw new CorruptedFrameException("the byte " + next + " behind a chunk");
        }
    }

    private enum Part {
        STATUS_LINE,
        HEAD_FIELDS,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        CHUNK_END_LINE_FEED,
        TRAILERS,
        /** Bytes whose form does not matter, or that are not expected any more. */
        PASSED_OVER
    }
}
