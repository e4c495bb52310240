package io.jayhead.admission.quarantine;

import java.util.Set;
import java.util.TreeSet;

/**
 * The upstreams that ended while they were about to answer a prompt with a certain part; immutable.
 *
 * @param part the identity of the part
 * @param depth the number of parts before it in the prompts in which it was seen
 * @param upstreams the incarnations that ended, at most {@link #MAX_UPSTREAMS}
 * @param times when they ended
 * @param trials the identities of the requests that may have been sent although the part was blocked, at most
 *     {@link #MAX_UPSTREAMS}
 */
public record PartCrashes(String part, int depth, Set<String> upstreams, EndTimes times, Set<String> trials) {

    /** More incarnations than this say nothing new about a part. */
    public static final int MAX_UPSTREAMS = 16;

    /**
     * Makes defensive copies of the sets.
     *
     * @throws IllegalArgumentException if the part is empty or there are too many upstreams or trials
     */
    public PartCrashes {
        if (part.isEmpty()) {
            throw new IllegalArgumentException("the part has no identity");
        }
        if (upstreams.size() > MAX_UPSTREAMS) {
            throw new IllegalArgumentException("more than " + MAX_UPSTREAMS + " upstreams: " + upstreams.size());
        }
        if (trials.size() > MAX_UPSTREAMS) {
            throw new IllegalArgumentException("more than " + MAX_UPSTREAMS + " trials: " + trials.size());
        }
        upstreams = Set.copyOf(upstreams);
        trials = Set.copyOf(trials);
    }

    /**
     * Creates a record without trials of upstreams that ended at times that are not known.
     *
     * @param part the identity of the part
     * @param depth the number of parts before it in the prompts in which it was seen
     * @param upstreams the incarnations that ended
     */
    public PartCrashes(String part, int depth, Set<String> upstreams) {
        this(part, depth, upstreams, EndTimes.unknown(), Set.of());
    }

    /**
     * Adds a request that is about to be sent although the part is blocked.
     *
     * @param trial the identity of the request
     * @return the record with it
     */
    public PartCrashes withTrial(String trial) {
        return new PartCrashes(part, depth, upstreams, times, union(trials, Set.of(trial)));
    }

    /**
     * Adds the upstreams and trials of another record of the same part, as far as there is room.
     *
     * @param other the other record
     * @return the union
     */
    public PartCrashes merge(PartCrashes other) {
        return new PartCrashes(
                part,
                Math.max(depth, other.depth),
                union(upstreams, other.upstreams),
                times.merge(other.times),
                union(trials, other.trials));
    }

    private static Set<String> union(Set<String> names, Set<String> added) {
        Set<String> union = new TreeSet<>(names);
        for (String name : new TreeSet<>(added)) {
            if (union.size() < MAX_UPSTREAMS) {
                union.add(name);
            }
        }
        return union;
    }
}
