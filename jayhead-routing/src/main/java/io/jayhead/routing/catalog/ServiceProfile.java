package io.jayhead.routing.catalog;

/**
 * What the configuration says of the upstreams of a service.
 *
 * @param name the name of the service
 * @param maxConnections the connections that one upstream accepts from all routers together
 * @param modelEngine whether the upstreams are model engines
 * @param slots the requests that one engine runs at once; 0 if not set
 * @param kvTokens the tokens that fit into the memory of one engine; 0 if not set
 * @param tokensPerEvent the most tokens in one event of a stream; 0 if not set
 */
public record ServiceProfile(
        String name, int maxConnections, boolean modelEngine, int slots, long kvTokens, int tokensPerEvent) {}
