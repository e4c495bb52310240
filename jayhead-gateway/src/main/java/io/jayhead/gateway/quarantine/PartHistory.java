package io.jayhead.gateway.quarantine;

import io.jayhead.admission.quarantine.EndTimes;
import io.jayhead.admission.quarantine.PartCrashes;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers, for the parts of recent prompts, whether this router saw an answer and which upstreams ended since; used
 * by the traffic thread.
 */
final class PartHistory {

    private static final int MAX_PARTS = 1_024;
    /** A part that was answered before is probably sound, so the first end under it is not worth a report. */
    private static final int MIN_ENDS_AFTER_ANSWER = 2;

    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Records an answer to a prompt with a part. */
    void answered(String part) {
        entries.put(part, Entry.ANSWERED);
    }

    /**
     * Records an upstream that ended before it answered a prompt with a part.
     *
     * @param part the part
     * @param depth the number of parts before it
     * @param incarnation the upstream
     * @param atMs the time of day in milliseconds since 1970
     * @return what is to be reported; empty if the part is probably sound
     */
    Optional<PartCrashes> crashed(String part, int depth, String incarnation, long atMs) {
        Entry known = entries.get(part);
        PartCrashes end = new PartCrashes(part, depth, Set.of(incarnation), EndTimes.of(atMs), Set.of());
        boolean answered = known != null && known.answered();
        PartCrashes ends = known == null
                ? end
                : known.crashes().map(before -> before.merge(end)).orElse(end);
        entries.put(part, new Entry(answered, Optional.of(ends)));
        boolean reported = !answered || ends.upstreams().size() >= MIN_ENDS_AFTER_ANSWER;
        return reported ? Optional.of(ends) : Optional.empty();
    }

    /**
     * What is known of a part.
     *
     * @param answered whether an answer was seen
     * @param crashes the upstreams that ended since; empty if none
     */
    private record Entry(boolean answered, Optional<PartCrashes> crashes) {

        static final Entry ANSWERED = new Entry(true, Optional.empty());
    }
}
