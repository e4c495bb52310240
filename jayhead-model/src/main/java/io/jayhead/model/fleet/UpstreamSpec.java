package io.jayhead.model.fleet;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.UpstreamName;

/**
 * Describes an upstream.
 *
 * @param name the name of the upstream
 * @param type whether it is a model engine or a plain service
 * @param availabilityZone the availability zone it runs in
 * @param address the base URL
 * @param checksFencing whether it rejects requests with an old fencing token
 * @param leaving whether the operators are taking it out of service
 */
public record UpstreamSpec(
        UpstreamName name,
        UpstreamType type,
        AvailabilityZone availabilityZone,
        String address,
        boolean checksFencing,
        boolean leaving) {}
