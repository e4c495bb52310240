package io.jayhead.routing.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Holds one version of the configuration, indexed for lookups per request; immutable. */
public final class Catalog {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final CallerKeys keys;
    private final CallerLimits limits;
    private final UpstreamRanks ranks;

    private Catalog(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceProfile> services,
            CallerKeys keys,
            CallerLimits limits,
            UpstreamRanks ranks) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = Map.copyOf(services);
        this.keys = keys;
        this.limits = limits;
        this.ranks = ranks;
    }

    /**
     * Builds the catalog of one version of the configuration.
     *
     * @param version the version of the configuration; higher versions replace lower ones
     * @param routes the routes
     * @param services the services by name
     * @param keys the organisations and the API keys of their callers
     * @param limits the limits for callers
     * @return the catalog
     */
    public static Catalog of(
            long version,
            List<Route> routes,
            Map<String, ServiceProfile> services,
            CallerKeys keys,
            CallerLimits limits) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.replaceAll(
                (host, hostRoutes) -> hostRoutes.stream().sorted(longestFirst).toList());
        List<Integer> priorities = routes.stream().map(Route::priority).toList();
        UpstreamRanks ranks = UpstreamRanks.of(keys.priorities(), priorities);
        return new Catalog(version, Map.copyOf(byHost), services, keys, limits, ranks);
    }

    /**
     * Returns a catalog without entries, used until a configuration has been read.
     *
     * @return a catalog with version -1
     */
    public static Catalog empty() {
        return of(-1, List.of(), Map.of(), CallerKeys.notRequired(), CallerLimits.DEFAULT);
    }

    /**
     * Tells whether this catalog was built from a configuration.
     *
     * @return false for {@link #empty()}
     */
    public boolean hasConfiguration() {
        return version >= 0;
    }

    /**
     * Returns the version.
     *
     * @return the version, or -1 for {@link #empty()}
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route with the longest prefix that matches a path.
     *
     * @param hostHeader the host in any case, with or without a port
     * @param path the path, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String hostHeader, String path) {
        int colon = hostHeader.indexOf(':');
        String host = (colon < 0 ? hostHeader : hostHeader.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = path.indexOf('?');
        String plainPath = query < 0 ? path : path.substring(0, query);
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> plainPath.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns all routes.
     *
     * @return the routes, by host and then from the longest prefix to the shortest
     */
    public List<Route> routes() {
        return routesByHost.keySet().stream()
                .sorted()
                .flatMap(host -> routesByHost.get(host).stream())
                .toList();
    }

    /**
     * Returns the profiles of all services.
     *
     * @return the profiles by name
     */
    public Map<String, ServiceProfile> services() {
        return services;
    }

    /**
     * Returns the organisations and the API keys of their callers.
     *
     * @return the keys
     */
    public CallerKeys keys() {
        return keys;
    }

    /**
     * Returns the profile of a service.
     *
     * @param name the name
     * @return the profile, or one without limits if the service is not configured
     */
    public ServiceProfile service(String name) {
        return services.getOrDefault(name, new ServiceProfile(name, 0, false, 0, 0, 0));
    }

    /**
     * Returns the ranks of requests at upstreams.
     *
     * @return the ranks
     */
    public UpstreamRanks ranks() {
        return ranks;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
