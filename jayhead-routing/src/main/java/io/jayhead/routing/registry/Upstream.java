package io.jayhead.routing.registry;

/**
 * One incarnation of an upstream.
 *
 * @param id the identity that the upstream checks
 * @param bornAtEpochMs the start of this incarnation; 0 if not known
 * @param service the service that it belongs to
 * @param host the IP address
 * @param port the port
 * @param availabilityZone the availability zone
 * @param draining whether it takes no new requests
 * @param slots the requests that it runs at once
 */
public record Upstream(
        String id,
        long bornAtEpochMs,
        String service,
        String host,
        int port,
        String availabilityZone,
        boolean draining,
        int slots) {

    /**
     * Returns a name that differs between incarnations.
     *
     * @return the identity and the time of the start
     */
    public String incarnation() {
        return id + "@" + bornAtEpochMs;
    }
}
