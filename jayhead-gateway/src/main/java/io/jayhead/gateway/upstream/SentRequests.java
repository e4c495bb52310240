package io.jayhead.gateway.upstream;

import java.util.BitSet;

/**
 * Remembers the requests that were sent on a connection, in little memory: it may take a request for a sent one that is
 * not, but never the other way round (a Bloom filter).
 */
final class SentRequests {

    private static final int BITS = 8_192;
    /** With so many requests about one in a hundred others is taken for a sent one. */
    private static final int MAX_REQUESTS = 500;

    private static final int SECOND_HASH_FACTOR = 0x9E3779B9;

    private final BitSet marks = new BitSet();
    private int count;

    void add(String id) {
        count++;
        marks.set(firstMark(id));
        marks.set(secondMark(id));
    }

    /** Returns how many requests were sent. */
    int count() {
        return count;
    }

    /** Tells whether no further request should be sent, since too many others would be taken for sent ones. */
    boolean isFull() {
        return count >= MAX_REQUESTS;
    }

    /** Tells whether a request may have been sent. */
    boolean mayContain(String id) {
        return marks.get(firstMark(id)) && marks.get(secondMark(id));
    }

    private static int firstMark(String id) {
        return Math.floorMod(id.hashCode(), BITS);
    }

    private static int secondMark(String id) {
        int hash = id.hashCode() * SECOND_HASH_FACTOR;
        return Math.floorMod(hash ^ hash >>> Short.SIZE, BITS);
    }
}
