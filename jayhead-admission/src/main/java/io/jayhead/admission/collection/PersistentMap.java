package io.jayhead.admission.collection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Maps keys to values; immutable, so every update returns a new map.
 *
 * <p>An update copies only one of 256 buckets, because copying a plain map of 100,000 budgets on each request would
 * take milliseconds.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class PersistentMap<K, V> {

    private static final int BUCKETS = 256;

    private final Map<K, V>[] buckets;

    private PersistentMap(Map<K, V>[] buckets) {
        this.buckets = buckets;
    }

    /**
     * Returns a map without entries.
     *
     * @param <K> the type of the keys
     * @param <V> the type of the values
     * @return the map
     */
    @SuppressWarnings({"unchecked", "rawtypes"})
    public static <K, V> PersistentMap<K, V> empty() {
        Map<K, V>[] buckets = new Map[BUCKETS];
        Arrays.fill(buckets, Map.of());
        return new PersistentMap<>(buckets);
    }

    /**
     * Finds the value of a key.
     *
     * @param key the key
     * @return the value, or empty if there is none
     */
    public Optional<V> get(K key) {
        return Optional.ofNullable(buckets[bucketOf(key)].get(key));
    }

    /**
     * Returns a map in which the key has the value.
     *
     * @param key the key
     * @param value the value
     * @return the new map
     */
    public PersistentMap<K, V> with(K key, V value) {
        int index = bucketOf(key);
        Map<K, V> bucket = new HashMap<>(buckets[index]);
        bucket.put(key, value);
        return withBucket(index, bucket);
    }

    /**
     * Returns a map without the key.
     *
     * @param key the key
     * @return the new map, or this one if it does not contain the key
     */
    public PersistentMap<K, V> without(K key) {
        int index = bucketOf(key);
        if (!buckets[index].containsKey(key)) {
            return this;
        }
        Map<K, V> bucket = new HashMap<>(buckets[index]);
        bucket.remove(key);
        return withBucket(index, bucket);
    }

    /**
     * Returns the keys in no particular order.
     *
     * @return the keys
     */
    public Stream<K> keys() {
        return nonEmptyBuckets().flatMap(bucket -> bucket.keySet().stream());
    }

    /**
     * Returns the values in no particular order.
     *
     * @return the values
     */
    public Stream<V> values() {
        return nonEmptyBuckets().flatMap(bucket -> bucket.values().stream());
    }

    private Stream<Map<K, V>> nonEmptyBuckets() {
        return Stream.of(buckets).filter(bucket -> !bucket.isEmpty());
    }

    private PersistentMap<K, V> withBucket(int index, Map<K, V> bucket) {
        Map<K, V>[] copy = buckets.clone();
        copy[index] = bucket;
        return new PersistentMap<>(copy);
    }

    private int bucketOf(K key) {
        int hash = key.hashCode();
        return (hash ^ (hash >>> 8) ^ (hash >>> 16) ^ (hash >>> 24)) & (BUCKETS - 1);
    }
}
