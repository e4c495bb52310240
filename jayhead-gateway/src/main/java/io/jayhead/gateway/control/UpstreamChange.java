package io.jayhead.gateway.control;

import io.jayhead.routing.registry.Upstream;
import java.util.Optional;

/**
 * A change of one entry of the registry.
 *
 * @param id the identity of the upstream
 * @param entry the new entry; empty if it was removed
 */
public record UpstreamChange(String id, Optional<Upstream> entry) {}
