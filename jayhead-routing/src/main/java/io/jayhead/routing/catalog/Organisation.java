package io.jayhead.routing.catalog;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Describes an organisation whose callers share API keys and a prepaid token budget.
 *
 * @param name the name that upstreams see
 * @param priority the priority that overrides the priority of the route; empty to keep the priority of the route
 * @param prepaidTokens the total tokens that the organisation may consume; empty if there is no limit
 * @param regions the regions in which its requests may be processed
 */
public record Organisation(String name, OptionalInt priority, OptionalLong prepaidTokens, AllowedRegions regions) {

    /**
     * Creates an organisation whose requests may be processed in all regions.
     *
     * @param name the name that upstreams see
     * @param priority the priority that overrides the priority of the route; empty to keep the priority of the route
     * @param prepaidTokens the total tokens that the organisation may consume; empty if there is no limit
     */
    public Organisation(String name, OptionalInt priority, OptionalLong prepaidTokens) {
        this(name, priority, prepaidTokens, AllowedRegions.all());
    }
}
