package io.jayhead.gateway.upstream;

import java.util.LinkedHashSet;
import java.util.Set;

/** Remembers the newest requests that were sent on a connection. */
final class SentRequests {

    /** A second answer follows the first one after a few others at most. */
    private static final int MAX_REMEMBERED = 32;

    private final Set<String> newestIds = new LinkedHashSet<>();
    private int count;

    void add(String id) {
        count++;
        newestIds.add(id);
        if (newestIds.size() > MAX_REMEMBERED) {
            newestIds.remove(newestIds.iterator().next());
        }
    }

    /** Returns how many requests were sent, including those that are no longer remembered. */
    int count() {
        return count;
    }

    /** Tells whether a request is among the newest ones. */
    boolean contains(String id) {
        return newestIds.contains(id);
    }
}
