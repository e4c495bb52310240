package io.jayhead.model.fleet;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.UpstreamName;

/**
 * Describes an upstream.
 *
 * @param name the name
 * @param type model engine or plain service
 * @param zone the availability zone it runs in
 * @param address the base URL
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param leaving whether the operators take it out of service
 */
public record UpstreamSpec(
        UpstreamName name,
        UpstreamType type,
        AvailabilityZone zone,
        String address,
        boolean checksFencing,
        boolean leaving) {}
