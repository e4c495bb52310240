package io.jayhead.routing.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Remembers which engines this router sent the shared prompt parts to recently; not thread-safe.
 *
 * <p>The load pattern: a part has more traffic than the engine that all routers prefer for it can take. The rest
 * goes to engines that have read the part already.
 */
public final class PartHolders {

    /** An engine may have replaced a part by others after this time without use. */
    private static final long MAX_AGE_MS = 5_000;

    private static final int MAX_PARTS = 1_000;
    private static final float LOAD_FACTOR = 0.75f;

    /** The time of the last request by engine, for each part; the part that was used least recently comes first. */
    private final Map<String, Map<String, Long>> sentMsByPart = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /**
     * Records a request with shared parts that is sent to an engine.
     *
     * @param affinityKey the key of the parts; ignored if empty
     * @param incarnation the incarnation of the engine
     * @param nowMs the current time
     */
    public void sent(String affinityKey, String incarnation, long nowMs) {
        if (affinityKey.isEmpty()) {
            return;
        }
        Map<String, Long> sentMs = sentMsByPart.computeIfAbsent(affinityKey, key -> new HashMap<>());
        sentMs.values().removeIf(ms -> nowMs - ms > MAX_AGE_MS);
        sentMs.put(incarnation, nowMs);
    }

    /**
     * Returns the engines that probably hold the shared parts.
     *
     * @param affinityKey the key of the parts
     * @param nowMs the current time
     * @return the incarnations of the engines
     */
    public Set<String> holders(String affinityKey, long nowMs) {
        return sentMsByPart.getOrDefault(affinityKey, Map.of()).entrySet().stream()
                .filter(sent -> nowMs - sent.getValue() <= MAX_AGE_MS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
