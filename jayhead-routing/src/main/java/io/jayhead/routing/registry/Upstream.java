package io.jayhead.routing.registry;

/**
 * Describes one incarnation of an upstream, which lasts until the upstream restarts.
 *
 * @param id the identity of the upstream, which it checks in requests
 * @param startedAtEpochMs the start of this incarnation in milliseconds since the epoch; 0 if unknown
 * @param service the name of the service to which the upstream belongs
 * @param host the IP address
 * @param port the port
 * @param availabilityZone the availability zone
 * @param draining whether the upstream accepts no new requests
 * @param slots the number of requests that the upstream runs at the same time
 * @param warmUpLeftMs the most milliseconds for which the upstream still had to warm up when it wrote its entry; 0 if
 *     it had warmed up, or if that is unknown
 */
public record Upstream(
        String id,
        long startedAtEpochMs,
        String service,
        String host,
        int port,
        String availabilityZone,
        boolean draining,
        int slots,
        long warmUpLeftMs) {

    /**
     * Creates an upstream that has warmed up.
     *
     * @param id the identity of the upstream, which it checks in requests
     * @param startedAtEpochMs the start of this incarnation in milliseconds since the epoch; 0 if unknown
     * @param service the name of the service to which the upstream belongs
     * @param host the IP address
     * @param port the port
     * @param availabilityZone the availability zone
     * @param draining whether the upstream accepts no new requests
     * @param slots the number of requests that the upstream runs at the same time
     */
    public Upstream(
            String id,
            long startedAtEpochMs,
            String service,
            String host,
            int port,
            String availabilityZone,
            boolean draining,
            int slots) {
        this(id, startedAtEpochMs, service, host, port, availabilityZone, draining, slots, 0);
    }

    /**
     * Returns a name that is unique to this incarnation.
     *
     * @return the identity and the start time, separated by "@"
     */
    public String incarnation() {
        return id + "@" + startedAtEpochMs;
    }

    /**
     * Returns the same incarnation as one that accepts no new requests.
     *
     * @return the draining upstream
     */
    public Upstream asDraining() {
        return new Upstream(id, startedAtEpochMs, service, host, port, availabilityZone, true, slots, warmUpLeftMs);
    }
}
