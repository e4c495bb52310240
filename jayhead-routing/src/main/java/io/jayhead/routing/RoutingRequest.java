package io.jayhead.routing;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.Optional;
import java.util.Set;

/**
 * Describes an attempt of a request for which an upstream must be chosen.
 *
 * @param service the service
 * @param priority the priority from 0 to 9; requests with a higher number go first in the engine's queue
 * @param prefix the digest of the first 256 characters of the prompt in hexadecimal; blank for calls of plain services
 * @param promptTokens an upper bound on the number of prompt tokens
 * @param zone the availability zone of this router
 * @param excluded the upstreams of earlier attempts, which must not be chosen again
 * @param preferred the upstream of an earlier attempt, if this attempt should go to the same upstream
 */
public record RoutingRequest(
        ServiceName service,
        int priority,
        String prefix,
        long promptTokens,
        AvailabilityZone zone,
        Set<UpstreamName> excluded,
        Optional<UpstreamName> preferred) {

    /** Makes a defensive copy of the set. */
    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Creates the first attempt of a request.
     *
     * @param service the service
     * @param priority the priority from 0 to 9
     * @param prefix the digest of the prompt's prefix in hexadecimal; blank for calls of plain services
     * @param promptTokens an upper bound on the number of prompt tokens
     * @param zone the availability zone of this router
     * @return the request
     */
    public static RoutingRequest of(
            ServiceName service, int priority, String prefix, long promptTokens, AvailabilityZone zone) {
        return new RoutingRequest(service, priority, prefix, promptTokens, zone, Set.of(), Optional.empty());
    }

    /**
     * Creates a further attempt of the same request.
     *
     * @param newExcluded the upstreams that must not be chosen
     * @param newPreferred the upstream to choose if it is eligible; empty for no preference
     * @return the request
     */
    public RoutingRequest retry(Set<UpstreamName> newExcluded, Optional<UpstreamName> newPreferred) {
        return new RoutingRequest(service, priority, prefix, promptTokens, zone, newExcluded, newPreferred);
    }
}
