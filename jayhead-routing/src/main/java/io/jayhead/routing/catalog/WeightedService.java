package io.jayhead.routing.catalog;

/**
 * Assigns a share of a route's traffic to a service.
 *
 * @param service the name of the service
 * @param weight the share relative to the other weights of the route; not negative
 */
public record WeightedService(String service, int weight) {

    /**
     * Validates the weight.
     *
     * @throws IllegalArgumentException if the weight is negative
     */
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException("weight is negative: " + weight);
        }
    }
}
