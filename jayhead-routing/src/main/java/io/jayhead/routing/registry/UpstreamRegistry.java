package io.jayhead.routing.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Holds the upstreams that may be used; immutable. */
public final class UpstreamRegistry {

    private final Map<String, Upstream> byId;
    private final Map<String, List<Upstream>> readyByService;

    private UpstreamRegistry(Map<String, Upstream> byId) {
        this.byId = Map.copyOf(byId);
        this.readyByService = byId.values().stream()
                .filter(upstream -> !upstream.draining())
                .collect(Collectors.groupingBy(Upstream::service));
    }

    /**
     * Creates a registry.
     *
     * @param byId the upstreams by identity
     * @return the registry
     */
    public static UpstreamRegistry of(Map<String, Upstream> byId) {
        return new UpstreamRegistry(byId);
    }

    /**
     * Returns a registry without entries.
     *
     * @return the registry
     */
    public static UpstreamRegistry empty() {
        return of(Map.of());
    }

    /**
     * Returns a registry with one entry added or replaced.
     *
     * @param upstream the new entry
     * @return the new registry
     */
    public UpstreamRegistry with(Upstream upstream) {
        Map<String, Upstream> entries = new HashMap<>(byId);
        entries.put(upstream.id(), upstream);
        return of(entries);
    }

    /**
     * Returns a registry with some entries removed.
     *
     * @param ids the identities to remove; unknown ones are ignored
     * @return the new registry
     */
    public UpstreamRegistry without(Set<String> ids) {
        Map<String, Upstream> entries = new HashMap<>(byId);
        entries.keySet().removeAll(ids);
        return of(entries);
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service the name of the service
     * @return the upstreams in no particular order
     */
    public List<Upstream> ready(String service) {
        return readyByService.getOrDefault(service, List.of());
    }

    /**
     * Finds an upstream.
     *
     * @param id the identity of the upstream
     * @return the upstream, or empty if the registry does not contain it
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Tells whether an upstream accepts new requests.
     *
     * @param upstream an entry of this or an earlier registry
     * @return true if its incarnation is listed and not draining
     */
    public boolean isReady(Upstream upstream) {
        return find(upstream.id())
                .filter(listed -> !listed.draining() && listed.incarnation().equals(upstream.incarnation()))
                .isPresent();
    }

    /**
     * Returns the incarnations that accept new requests, of all services.
     *
     * @return the incarnations
     */
    public Set<String> readyIncarnations() {
        return readyByService.values().stream()
                .flatMap(List::stream)
                .map(Upstream::incarnation)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the identities of all entries.
     *
     * @return the identities
     */
    public Set<String> ids() {
        return byId.keySet();
    }
}
