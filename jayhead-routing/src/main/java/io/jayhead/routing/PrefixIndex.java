package io.jayhead.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates which prompt prefixes an engine holds in its cache; immutable and bounded.
 *
 * <p>Cache events arrive late and with gaps, so the index returns a likelihood instead of a definite answer. A prefix
 * is stored as the first 64 bits of its digest. This keeps the indexes of 600 engines within a few megabytes, and a
 * collision costs only a slower first token.
 */
public final class PrefixIndex {

    /** The maximum number of prefixes stored for one engine. */
    public static final int MAX_PREFIXES = 256;

    /** Half-life of the likelihood without new events; engines evict prefixes because cache memory is limited. */
    static final long HALF_LIFE_MS = 120_000;
    /** The maximum delay of cache events; an eviction that arrives within this time of a send may precede the send. */
    static final long EVENT_LAG_MS = 2_000;

    private static final float STORED_CONFIDENCE = 0.95f;
    private static final float SENT_CONFIDENCE = 0.7f;
    private static final float EVICTED_AFTER_SEND_CONFIDENCE = 0.4f;
    private static final float GAP_FACTOR = 0.5f;
    private static final int PREFIX_HEX_DIGITS = 16;
    private static final PrefixIndex EMPTY = new PrefixIndex(new long[0], new long[0], new float[0], 0);

    private final long[] prefixes;
    private final long[] seenMs;
    private final float[] confidences;
    private final long nextSequence;

    private PrefixIndex(long[] prefixes, long[] seenMs, float[] confidences, long nextSequence) {
        this.prefixes = prefixes;
        this.seenMs = seenMs;
        this.confidences = confidences;
        this.nextSequence = nextSequence;
    }

    /**
     * Returns an index without prefixes.
     *
     * @return the empty index
     */
    public static PrefixIndex empty() {
        return EMPTY;
    }

    /**
     * Returns the sequence number from which to request the next page of cache events.
     *
     * @return the sequence number
     */
    public long nextSequence() {
        return nextSequence;
    }

    /**
     * Returns the number of stored prefixes.
     *
     * @return a number from 0 to {@link #MAX_PREFIXES}
     */
    public int size() {
        return prefixes.length;
    }

    /**
     * Records that this router has sent a prompt, which the engine then usually caches.
     *
     * @param prefix the digest of the prefix in hexadecimal
     * @param nowMs the current time
     * @return the new index
     */
    public PrefixIndex withSent(String prefix, long nowMs) {
        float confidence = (float) Math.max(SENT_CONFIDENCE, likelihood(prefix, nowMs));
        return put(key(prefix), confidence, nowMs);
    }

    /**
     * Applies a page of cache events. Lost events lower the likelihood of all prefixes.
     *
     * @param events the events in ascending order; events that were already applied are skipped
     * @param next the sequence number after the last event of the page
     * @param gap whether the engine reports lost events
     * @param nowMs the current time
     * @return the new index
     */
    public PrefixIndex withEvents(List<CacheEvent> events, long next, boolean gap, long nowMs) {
        // A lower sequence number means that the engine restarted with an empty cache.
        PrefixIndex index = next < nextSequence ? EMPTY : this;
        long expected = index.nextSequence;
        boolean missing = gap;
        for (CacheEvent event : events) {
            if (event.sequence() < expected) {
                continue;
            }
            missing |= event.sequence() > expected;
            index = missing ? index.afterGap() : index;
            missing = false;
            index = index.withEvent(event, nowMs);
            expected = event.sequence() + 1;
        }
        index = missing || next > expected ? index.afterGap() : index;
        return new PrefixIndex(index.prefixes, index.seenMs, index.confidences, next);
    }

    /**
     * Returns the likelihood that the engine has cached a prefix.
     *
     * @param prefix the digest of the prefix in hexadecimal; blank for calls of plain services
     * @param nowMs the current time
     * @return a number from 0 to 1
     */
    public double likelihood(String prefix, long nowMs) {
        int position = prefix.isBlank() ? -1 : find(key(prefix));
        if (position < 0) {
            return 0;
        }
        double ageMs = Math.max(0, nowMs - seenMs[position]);
        return confidences[position] * Math.pow(0.5, ageMs / HALF_LIFE_MS);
    }

    private PrefixIndex withEvent(CacheEvent event, long nowMs) {
        long key = key(event.prefix());
        if (event.operation() == CacheEvent.Operation.STORED) {
            return put(key, STORED_CONFIDENCE, nowMs);
        }
        int position = find(key);
        if (position < 0) {
            return this;
        }
        boolean mayPrecedeSend = nowMs - seenMs[position] < EVENT_LAG_MS;
        return mayPrecedeSend ? put(key, EVICTED_AFTER_SEND_CONFIDENCE, seenMs[position]) : without(position);
    }

    private PrefixIndex afterGap() {
        float[] lowered = confidences.clone();
        for (int i = 0; i < lowered.length; i++) {
            lowered[i] *= GAP_FACTOR;
        }
        return new PrefixIndex(prefixes, seenMs, lowered, nextSequence);
    }

    private PrefixIndex put(long key, float confidence, long nowMs) {
        int position = find(key);
        PrefixIndex remaining = position >= 0 ? without(position) : this;
        if (remaining.prefixes.length >= MAX_PREFIXES) {
            remaining = remaining.without(0);
        }
        int size = remaining.prefixes.length;
        long[] newPrefixes = Arrays.copyOf(remaining.prefixes, size + 1);
        long[] newSeenMs = Arrays.copyOf(remaining.seenMs, size + 1);
        float[] newConfidences = Arrays.copyOf(remaining.confidences, size + 1);
        newPrefixes[size] = key;
        newSeenMs[size] = nowMs;
        newConfidences[size] = confidence;
        return new PrefixIndex(newPrefixes, newSeenMs, newConfidences, nextSequence);
    }

    private PrefixIndex without(int position) {
        int size = prefixes.length - 1;
        long[] newPrefixes = Arrays.copyOf(prefixes, size);
        long[] newSeenMs = Arrays.copyOf(seenMs, size);
        float[] newConfidences = Arrays.copyOf(confidences, size);
        System.arraycopy(prefixes, position + 1, newPrefixes, position, size - position);
        System.arraycopy(seenMs, position + 1, newSeenMs, position, size - position);
        System.arraycopy(confidences, position + 1, newConfidences, position, size - position);
        return new PrefixIndex(newPrefixes, newSeenMs, newConfidences, nextSequence);
    }

    private int find(long key) {
        for (int i = prefixes.length - 1; i >= 0; i--) {
            if (prefixes[i] == key) {
                return i;
            }
        }
        return -1;
    }

    private static long key(String prefix) {
        try {
            return Long.parseUnsignedLong(
                    prefix.substring(0, Math.min(PREFIX_HEX_DIGITS, prefix.length())), PREFIX_HEX_DIGITS);
        } catch (NumberFormatException e) {
            return prefix.hashCode();
        }
    }
}
