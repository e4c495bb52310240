package io.jayhead.routing.catalog;

import java.util.List;

/**
 * A rule that leads requests of one host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host in lower case, without a port
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param services the services with their shares
 * @param timeoutMs the longest time until the answer is complete
 * @param objectiveMs the time within which the answer, or its first event, should arrive
 * @param priority the rank among the routes; 0 is the most urgent
 * @param maxAttempts the number of upstreams that one request may run on
 * @param open whether requests need no key
 * @param resumable whether a stream may go on at another upstream
 * @param maxPauseMs the longest pause between two events that is still on time; 0 if not set
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> services,
        int timeoutMs,
        int objectiveMs,
        int priority,
        int maxAttempts,
        boolean open,
        boolean resumable,
        int maxPauseMs) {

    /** Copies the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Chooses a service by weight.
     *
     * @param hash a hash of the request; equal hashes lead to the same service
     * @return the name of the service, or an empty string if the route has none
     */
    public String serviceFor(int hash) {
        if (services.isEmpty()) {
            return "";
        }
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        int point = Math.floorMod(hash, total);
        for (WeightedService share : services) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return services.get(0).service();
    }

    /**
     * Tells whether a request may be sent again although it may have run.
     *
     * @return true if another run is allowed
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }
}
