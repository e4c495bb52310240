package io.jayhead.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/** Holds the most recently used prompt prefixes in a limited number of entries. */
final class PrefixCache {

    private final int maxEntries;
    private final BiConsumer<String, String> onChange;
    private final Set<String> leastRecentFirst = new LinkedHashSet<>();

    /** Takes the listener of changes, which receives operation and prefix. */
    PrefixCache(int maxEntries, BiConsumer<String, String> onChange) {
        this.maxEntries = maxEntries;
        this.onChange = onChange;
    }

    /** Uses a prefix and tells whether it was cached. */
    boolean use(String prefix) {
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
