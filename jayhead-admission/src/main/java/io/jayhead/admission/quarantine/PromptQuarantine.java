package io.jayhead.admission.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the parts of prompts under which upstreams ended, and blocks those that explain several ends; immutable.
 *
 * <p>An upstream that ends fails all requests that it was about to answer, so most recorded parts are sound. The
 * blocked parts are a greedy cover of the ends (Chvatal 1979): the part under which most upstreams ended is blocked
 * first, and these upstreams no longer count against other parts.
 *
 * <p>Upstreams that end at one moment for another reason may have nothing in flight but requests with one part, which
 * is then blocked though it is sound. Only an answer shows that, so a few requests with a blocked part are tried: the
 * first one soon if the upstreams ended together, and much later if they ended one after the other, as they do under a
 * part that ends them.
 */
public final class PromptQuarantine {

    /** A part is blocked when this many upstreams ended under it that no other blocked part explains. */
    public static final int MIN_ENDED_UPSTREAMS = 3;
    /** A part is forgotten after this time without another end under it. */
    public static final long KEEP_MS = 600_000;

    /** So many requests are tried in all under one block; a part that ends upstreams ends no more of them. */
    public static final int MAX_TRIALS = 2;
    /** The time without a change after which a part is tried under which upstreams ended at one moment. */
    public static final long TRIAL_AFTER_MOMENT_MS = 2_000;
    /** The time without a change after which a part is tried under which upstreams ended one after the other. */
    public static final long TRIAL_AFTER_SERIES_MS = 30_000;
    /** The time without a change after which a part is tried once more. */
    public static final long NEXT_TRIAL_MS = 60_000;

    private static final PromptQuarantine EMPTY = new PromptQuarantine(Map.of());

    private final Map<String, Entry> entries;
    private final Set<String> blocked;

    private PromptQuarantine(Map<String, Entry> entries) {
        this.entries = Map.copyOf(entries);
        this.blocked = cover(entries.values());
    }

    /**
     * Returns a quarantine without parts.
     *
     * @return the empty quarantine
     */
    public static PromptQuarantine empty() {
        return EMPTY;
    }

    /**
     * Adds or replaces the record of a part; one that is the same as before keeps the time of its last change.
     *
     * @param crashes the upstreams that ended under the part
     * @param nowMs the current time
     * @return the new quarantine
     */
    public PromptQuarantine with(PartCrashes crashes, long nowMs) {
        Entry known = entries.get(crashes.part());
        if (known != null && known.crashes().equals(crashes)) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.put(crashes.part(), new Entry(crashes, nowMs));
        return new PromptQuarantine(next);
    }

    /**
     * Removes the record of a part.
     *
     * @param part the part; an unknown one is ignored
     * @return the new quarantine
     */
    public PromptQuarantine without(String part) {
        if (!entries.containsKey(part)) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.remove(part);
        return new PromptQuarantine(next);
    }

    /**
     * Removes the records of all parts but some.
     *
     * @param parts the parts whose records are kept
     * @return the new quarantine
     */
    public PromptQuarantine retaining(Collection<String> parts) {
        Map<String, Entry> next = new HashMap<>(entries);
        next.keySet().retainAll(parts);
        return next.size() == entries.size() ? this : new PromptQuarantine(next);
    }

    /**
     * Removes the records that have not changed for {@link #KEEP_MS}.
     *
     * @param nowMs the current time
     * @return the new quarantine; this one if no record has expired
     */
    public PromptQuarantine expired(long nowMs) {
        Map<String, Entry> next = new HashMap<>(entries);
        next.values().removeIf(entry -> nowMs - entry.changedAtMs() >= KEEP_MS);
        return next.size() == entries.size() ? this : new PromptQuarantine(next);
    }

    /**
     * Finds the record of a part.
     *
     * @param part the part
     * @return the record, or empty if no upstream is known to have ended under the part
     */
    public Optional<PartCrashes> find(String part) {
        return Optional.ofNullable(entries.get(part)).map(Entry::crashes);
    }

    /**
     * Tells whether a prompt must not be sent to an upstream.
     *
     * @param parts the parts of the prompt that other prompts may share
     * @return true if one of them is blocked
     */
    public boolean blocks(Collection<String> parts) {
        return !blocked.isEmpty() && parts.stream().anyMatch(blocked::contains);
    }

    /**
     * Finds the part that alone keeps a prompt from being sent, so that a request with it may be tried.
     *
     * @param parts the parts of the prompt that other prompts may share
     * @return the part; empty if none of them is blocked, or several are
     */
    public Optional<String> onlyBlocked(Collection<String> parts) {
        List<String> found = parts.stream().filter(blocked::contains).distinct().toList();
        return found.size() == 1 ? Optional.of(found.get(0)) : Optional.empty();
    }

    /**
     * Returns when the next request with a blocked part may be tried.
     *
     * @param part the part
     * @param nowMs the current time
     * @return the milliseconds until then, 0 from then on; empty if the part is not blocked or no trial is left
     */
    public OptionalLong nextTrialInMs(String part, long nowMs) {
        if (!blocked.contains(part) || entries.get(part).crashes().trials().size() >= MAX_TRIALS) {
            return OptionalLong.empty();
        }
        Entry entry = entries.get(part);
        return OptionalLong.of(Math.max(0, entry.changedAtMs() + trialAfterMs(entry.crashes()) - nowMs));
    }

    private static long trialAfterMs(PartCrashes crashes) {
        if (!crashes.trials().isEmpty()) {
            return NEXT_TRIAL_MS;
        }
        return crashes.times().areOneMoment() ? TRIAL_AFTER_MOMENT_MS : TRIAL_AFTER_SERIES_MS;
    }

    /**
     * Returns all recorded parts.
     *
     * @return the parts, blocked or not
     */
    public Set<String> parts() {
        return entries.keySet();
    }

    /**
     * Returns the blocked parts.
     *
     * @return the parts
     */
    public Set<String> blocked() {
        return blocked;
    }

    private static Set<String> cover(Collection<Entry> entries) {
        Set<String> blocked = new HashSet<>();
        Set<String> explained = new HashSet<>();
        while (true) {
            // Of parts that always came together, the deeper one is shared by fewer prompts.
            Optional<PartCrashes> next = entries.stream()
                    .map(Entry::crashes)
                    .filter(crashes -> unexplained(crashes, explained) >= MIN_ENDED_UPSTREAMS)
                    .max(Comparator.comparingLong((PartCrashes crashes) -> unexplained(crashes, explained))
                            .thenComparingInt(PartCrashes::depth)
                            .thenComparing(PartCrashes::part));
            if (next.isEmpty()) {
                return Set.copyOf(blocked);
            }
            blocked.add(next.get().part());
            explained.addAll(next.get().upstreams());
        }
    }

    private static long unexplained(PartCrashes crashes, Set<String> explained) {
        return crashes.upstreams().stream()
                .filter(upstream -> !explained.contains(upstream))
                .count();
    }

    /**
     * A recorded part.
     *
     * @param crashes the upstreams that ended under it
     * @param changedAtMs the time of the last change
     */
    private record Entry(PartCrashes crashes, long changedAtMs) {}
}
