package io.jayhead.routing;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.Optional;
import java.util.Set;

/**
 * Describes a request that needs an upstream.
 *
 * @param service the service
 * @param priority the priority from 0 to 9; higher goes first in the engine's queue
 * @param prefix the digest of the first 256 characters of the prompt in hexadecimal; blank for plain calls
 * @param promptTokens an upper bound of the prompt tokens
 * @param zone the availability zone of this router
 * @param excluded the upstreams of earlier attempts that must not be chosen
 * @param preferred the upstream where an earlier attempt of the same request ran, if it should be chosen again
 */
public record RoutingRequest(
        ServiceName service,
        int priority,
        String prefix,
        long promptTokens,
        AvailabilityZone zone,
        Set<UpstreamName> excluded,
        Optional<UpstreamName> preferred) {

    /** Copies the set. */
    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns the first attempt of a request.
     *
     * @param service the service
     * @param priority the priority from 0 to 9
     * @param prefix the digest of the prompt's prefix; blank for plain calls
     * @param promptTokens an upper bound of the prompt tokens
     * @param zone the availability zone of this router
     * @return the request
     */
    public static RoutingRequest of(
            ServiceName service, int priority, String prefix, long promptTokens, AvailabilityZone zone) {
        return new RoutingRequest(service, priority, prefix, promptTokens, zone, Set.of(), Optional.empty());
    }

    /**
     * Returns a later attempt of the same request.
     *
     * @param newExcluded the upstreams that must not be chosen
     * @param newPreferred the upstream to choose if it can serve
     * @return the request
     */
    public RoutingRequest retry(Set<UpstreamName> newExcluded, Optional<UpstreamName> newPreferred) {
        return new RoutingRequest(service, priority, prefix, promptTokens, zone, newExcluded, newPreferred);
    }
}
