package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Holds the availability zones whose upstreams get no new requests, as the operators have asked for; immutable.
 *
 * <p>Answers the load of an operation on a whole availability zone: every router takes it out of use at the same time,
 * and all of them take it back at the same time, when its upstreams may just have started.
 *
 * <p>An evacuation lasts until the platform shows that it was removed. A router that does not reach the platform keeps
 * the evacuations that it knows.
 *
 * @param known whether the evacuations were read at least once
 * @param zones the evacuated availability zones
 * @param endedAtMs the time in milliseconds, by availability zone, at which its last evacuation was seen to have ended
 */
public record ZoneEvacuations(boolean known, Set<String> zones, Map<String, Long> endedAtMs) {

    /** Makes immutable copies. */
    public ZoneEvacuations {
        zones = Set.copyOf(zones);
        endedAtMs = Map.copyOf(endedAtMs);
    }

    /**
     * Returns the evacuations of a deployment that has none.
     *
     * @return an instance that allows all availability zones
     */
    public static ZoneEvacuations none() {
        return new ZoneEvacuations(true, Set.of(), Map.of());
    }

    /**
     * Returns the evacuations of a router that has not read them yet.
     *
     * @return an instance that allows no availability zone
     */
    public static ZoneEvacuations unread() {
        return new ZoneEvacuations(false, Set.of(), Map.of());
    }

    /**
     * Replaces the evacuations by a full list of the platform.
     *
     * @param listed the evacuated availability zones
     * @param nowMs the current time
     * @return the new instance
     */
    public ZoneEvacuations listed(Set<String> listed, long nowMs) {
        Map<String, Long> ended = new HashMap<>(endedAtMs);
        zones.stream().filter(zone -> !listed.contains(zone)).forEach(zone -> ended.put(zone, nowMs));
        return new ZoneEvacuations(true, listed, ended);
    }

    /**
     * Adds an evacuation.
     *
     * @param zone the availability zone
     * @return the new instance
     */
    public ZoneEvacuations started(String zone) {
        Set<String> next = new HashSet<>(zones);
        next.add(zone);
        return new ZoneEvacuations(known, next, endedAtMs);
    }

    /**
     * Removes an evacuation. If this router has missed its start, the availability zone counts as taken back
     * nevertheless.
     *
     * @param zone the availability zone
     * @param nowMs the current time
     * @return the new instance
     */
    public ZoneEvacuations ended(String zone, long nowMs) {
        Set<String> next = new HashSet<>(zones);
        next.remove(zone);
        Map<String, Long> ended = new HashMap<>(endedAtMs);
        ended.put(zone, nowMs);
        return new ZoneEvacuations(known, next, ended);
    }

    /**
     * Tells whether new requests may be sent to an availability zone.
     *
     * @param zone the availability zone
     * @return false if it is evacuated, or if the evacuations have not been read yet
     */
    public boolean allows(String zone) {
        return known && !zones.contains(zone);
    }

    /**
     * Returns when an availability zone was taken back.
     *
     * @param zone the availability zone
     * @return the time at which this router saw its last evacuation end; empty if it saw none end
     */
    public OptionalLong takenBackAtMs(String zone) {
        Long endedMs = endedAtMs.get(zone);
        return endedMs == null ? OptionalLong.empty() : OptionalLong.of(endedMs);
    }
}
