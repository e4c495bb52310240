package io.jayhead.routing.catalog;

/**
 * Describes the upstreams of a service as configured.
 *
 * @param name the name of the service
 * @param maxConnections the maximum connections that one upstream accepts from all routers together; 0 if not set
 * @param modelEngine whether the upstreams are model engines
 * @param slots the requests that one engine runs at the same time; 0 if not set
 * @param kvTokens the capacity of the key-value cache of one engine in tokens; 0 if not set
 * @param tokensPerEvent the maximum number of tokens in one event of a stream; 0 if not set
 * @param warmUpMs the time in milliseconds for which an upstream warms up after its start
 * @param warmUpRequestsPerS the requests a second that an upstream takes from all routers together while it warms up; 0
 *     if there is no limit
 */
public record ServiceProfile(
        String name,
        int maxConnections,
        boolean modelEngine,
        int slots,
        long kvTokens,
        int tokensPerEvent,
        long warmUpMs,
        double warmUpRequestsPerS) {

    /**
     * Creates the profile of a service whose upstreams take any number of requests after their start.
     *
     * @param name the name of the service
     * @param maxConnections the maximum connections that one upstream accepts from all routers together; 0 if not set
     * @param modelEngine whether the upstreams are model engines
     * @param slots the requests that one engine runs at the same time; 0 if not set
     * @param kvTokens the capacity of the key-value cache of one engine in tokens; 0 if not set
     * @param tokensPerEvent the maximum number of tokens in one event of a stream; 0 if not set
     */
    public ServiceProfile(
            String name, int maxConnections, boolean modelEngine, int slots, long kvTokens, int tokensPerEvent) {
        this(name, maxConnections, modelEngine, slots, kvTokens, tokensPerEvent, 0, 0);
    }

    /**
     * Tells whether upstreams take fewer requests while they warm up.
     *
     * @return true if the service sets a limit
     */
    public boolean limitsWarmUp() {
        return warmUpRequestsPerS > 0;
    }
}
