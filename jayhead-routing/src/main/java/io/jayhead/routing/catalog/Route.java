package io.jayhead.routing.catalog;

import java.util.List;

/**
 * Maps the requests of one host and path prefix to weighted services.
 *
 * @param name the name of the route
 * @param host the host in lower case, without a port
 * @param pathPrefix the prefix of the path; begins and ends with a slash
 * @param kind whether a request may run more than once and whether its answer is a stream
 * @param services the services and their weights
 * @param timeoutMs the time limit for the complete answer
 * @param latencyObjectiveMs the target time until the answer, or the first event of a stream, arrives
 * @param priority the priority of the requests; 0 is the most urgent
 * @param maxAttempts the maximum number of upstreams on which one request may run
 * @param anonymous whether requests without an API key are accepted
 * @param resumable whether an interrupted stream may be resumed on another upstream
 * @param eventGapObjectiveMs the target for the longest pause between two events of a stream; 0 if not set
 * @param regions the regions in which its requests may be processed
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> services,
        int timeoutMs,
        int latencyObjectiveMs,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        int eventGapObjectiveMs,
        AllowedRegions regions) {

    /** Makes a defensive copy of the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Creates a route whose requests may be processed in all regions.
     *
     * @param name the name of the route
     * @param host the host in lower case, without a port
     * @param pathPrefix the prefix of the path; begins and ends with a slash
     * @param kind whether a request may run more than once and whether its answer is a stream
     * @param services the services and their weights
     * @param timeoutMs the time limit for the complete answer
     * @param latencyObjectiveMs the target time until the answer, or the first event of a stream, arrives
     * @param priority the priority of the requests; 0 is the most urgent
     * @param maxAttempts the maximum number of upstreams on which one request may run
     * @param anonymous whether requests without an API key are accepted
     * @param resumable whether an interrupted stream may be resumed on another upstream
     * @param eventGapObjectiveMs the target for the longest pause between two events of a stream; 0 if not set
     */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RouteKind kind,
            List<WeightedService> services,
            int timeoutMs,
            int latencyObjectiveMs,
            int priority,
            int maxAttempts,
            boolean anonymous,
            boolean resumable,
            int eventGapObjectiveMs) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                services,
                timeoutMs,
                latencyObjectiveMs,
                priority,
                maxAttempts,
                anonymous,
                resumable,
                eventGapObjectiveMs,
                AllowedRegions.all());
    }

    /**
     * Chooses a service by weight.
     *
     * @param hash a hash of the request; equal hashes select the same service
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
        int remainder = Math.floorMod(hash, total);
        for (WeightedService weighted : services) {
            remainder -= weighted.weight();
            if (remainder < 0) {
                return weighted.service();
            }
        }
        return services.get(0).service();
    }

    /**
     * Tells whether a request may be sent again although an earlier attempt may have run it.
     *
     * @return true if a second run is allowed
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }
}
