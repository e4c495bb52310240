package io.jayhead.model.fleet;

import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.List;
import java.util.Optional;

/**
 * Describes a service that callers use.
 *
 * @param name the name of the service
 * @param kind the kind of its requests
 * @param upstreams the upstreams that serve it
 * @param dependsOn the models and services that must be ready before requests are routed to the service
 * @param maxOutputTokens the maximum number of output tokens of a generation; 0 for plain services
 * @param path the URL path at a plain service; empty for generations
 * @param idempotencyKeySource where a request carries its idempotency key
 * @param priceTokens the tokens charged for a call of a plain service
 * @param statusService the service where callers read the status of a booking, or empty if there is none
 */
public record ServiceSpec(
        ServiceName name,
        RequestKind kind,
        List<UpstreamName> upstreams,
        List<Dependency> dependsOn,
        int maxOutputTokens,
        String path,
        IdempotencyKeySource idempotencyKeySource,
        long priceTokens,
        Optional<ServiceName> statusService) {

    /** Copies the lists. */
    public ServiceSpec {
        upstreams = List.copyOf(upstreams);
        dependsOn = List.copyOf(dependsOn);
    }
}
