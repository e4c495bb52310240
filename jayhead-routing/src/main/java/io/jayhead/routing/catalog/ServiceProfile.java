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
 */
public record ServiceProfile(
        String name, int maxConnections, boolean modelEngine, int slots, long kvTokens, int tokensPerEvent) {}
