package io.jayhead.admission.quarantine;

import java.util.Set;
import java.util.TreeSet;

/**
 * The upstreams that ended while they were about to answer a prompt with a certain part; immutable.
 *
 * @param part the identity of the part
 * @param depth the number of parts before it in the prompts in which it was seen
 * @param upstreams the incarnations that ended, at most {@link #MAX_UPSTREAMS}
 */
public record PartCrashes(String part, int depth, Set<String> upstreams) {

    /** More incarnations than this say nothing new about a part. */
    public static final int MAX_UPSTREAMS = 16;

    /**
     * Makes a defensive copy of the set.
     *
     * @throws IllegalArgumentException if the part is empty or there are too many upstreams
     */
    public PartCrashes {
        if (part.isEmpty()) {
            throw new IllegalArgumentException("the part has no identity");
        }
        if (upstreams.size() > MAX_UPSTREAMS) {
            throw new IllegalArgumentException("more than " + MAX_UPSTREAMS + " upstreams: " + upstreams.size());
        }
        upstreams = Set.copyOf(upstreams);
    }

    /**
     * Adds the upstreams of another record of the same part, as far as there is room.
     *
     * @param other the other record
     * @return the union
     */
    public PartCrashes merge(PartCrashes other) {
        Set<String> union = new TreeSet<>(upstreams);
        for (String upstream : new TreeSet<>(other.upstreams)) {
            if (union.size() < MAX_UPSTREAMS) {
                union.add(upstream);
            }
        }
        return new PartCrashes(part, Math.max(depth, other.depth), union);
    }
}
