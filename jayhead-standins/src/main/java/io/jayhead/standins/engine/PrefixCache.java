package io.jayhead.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/** Caches a limited number of prompt prefixes and evicts the least recently used. */
final class PrefixCache {

    private final int maxEntries;
    private final BiConsumer<String, String> onChange;
    private final Set<String> leastRecentFirst = new LinkedHashSet<>();

    /** Creates an empty cache whose listener receives the operation and the prefix of each change. */
    PrefixCache(int maxEntries, BiConsumer<String, String> onChange) {
        this.maxEntries = maxEntries;
        this.onChange = onChange;
    }

    /** Looks up a prefix, adds it if it is absent and returns whether it was cached. */
    boolean access(String prefix) {
        boolean hit = leastRecentFirst.remove(prefix);
        if (maxEntries == 0) {
            return false;
        }
        leastRecentFirst.add(prefix);
        if (hit) {
            return true;
        }
        if (leastRecentFirst.size() > maxEntries) {
            evictOldest();
        }
        onChange.accept("stored", prefix);
        return false;
    }

    private void evictOldest() {
        Iterator<String> oldest = leastRecentFirst.iterator();
        String evicted = oldest.next();
        oldest.remove();
        onChange.accept("evicted", evicted);
    }
}
