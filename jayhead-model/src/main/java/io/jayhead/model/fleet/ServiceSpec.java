package io.jayhead.model.fleet;

import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.List;
import java.util.Optional;

/**
 * Describes a service that callers use.
 *
 * @param name the name
 * @param kind the kind of its requests
 * @param upstreams the upstreams that serve it
 * @param dependsOn what must be ready before requests are routed to it
 * @param maxOutputTokens the output cap of one generation; 0 for plain services
 * @param path the path at a plain service; empty for generations
 * @param keySource where the idempotency key is found
 * @param priceTokens the charge of one call of a plain service
 * @param statusService the service where callers read the status of a booking, if any
 */
public record ServiceSpec(
        ServiceName name,
        RequestKind kind,
        List<UpstreamName> upstreams,
        List<Dependency> dependsOn,
        int maxOutputTokens,
        String path,
        KeySource keySource,
        long priceTokens,
        Optional<ServiceName> statusService) {

    /** Copies the lists. */
    public ServiceSpec {
        upstreams = List.copyOf(upstreams);
        dependsOn = List.copyOf(dependsOn);
    }
}
