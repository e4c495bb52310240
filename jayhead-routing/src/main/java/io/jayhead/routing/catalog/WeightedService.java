package io.jayhead.routing.catalog;

/**
 * One share of a route's traffic.
 *
 * @param service the name of the service
 * @param weight the share relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {

    /** Checks the weight. */
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException("weight is negative: " + weight);
        }
    }
}
