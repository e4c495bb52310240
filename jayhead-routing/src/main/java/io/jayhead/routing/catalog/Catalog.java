package io.jayhead.routing.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration, indexed for lookups by requests. */
public final class Catalog {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceProfile> services;
    private final Map<String, Organisation> organisationsByKey;
    private final Map<String, Organisation> organisations;
    private final CallerLimits limits;

    private Catalog(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceProfile> services,
            Map<String, Organisation> organisationsByKey,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = Map.copyOf(services);
        this.organisationsByKey = Map.copyOf(organisationsByKey);
        this.limits = limits;
        Map<String, Organisation> byName = new HashMap<>();
        organisationsByKey.values().forEach(each -> byName.put(each.name(), each));
        this.organisations = Map.copyOf(byName);
    }

    /**
     * Returns a catalog.
     *
     * @param version the version; higher versions replace lower ones
     * @param routes the routes
     * @param services the services by name
     * @param organisationsByKey the organisations by caller key
     * @param limits the bounds on callers
     * @return the catalog
     */
    public static Catalog of(
            long version,
            List<Route> routes,
            Map<String, ServiceProfile> services,
            Map<String, Organisation> organisationsByKey,
            CallerLimits limits) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.replaceAll((host, list) -> list.stream().sorted(longestFirst).toList());
        return new Catalog(version, Map.copyOf(byHost), services, organisationsByKey, limits);
    }

    /**
     * Returns a catalog without entries.
     *
     * @return the catalog of version -1
     */
    public static Catalog empty() {
        return of(-1, List.of(), Map.of(), Map.of(), CallerLimits.DEFAULT);
    }

    /**
     * Tells whether this catalog holds a configuration.
     *
     * @return false for {@link #empty()}
     */
    public boolean isKnown() {
        return version >= 0;
    }

    /**
     * Returns the version.
     *
     * @return the version, or -1 if no configuration is known
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route with the longest prefix of a path.
     *
     * @param hostHeader the host, with or without a port
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
     * Finds the organisation that holds a key.
     *
     * @param key the key, or null
     * @return the organisation, or empty if the key is unknown
     */
    public Optional<Organisation> organisationOf(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds an organisation by name.
     *
     * @param name the name
     * @return the organisation, or empty if it is unknown
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisations.get(name));
    }

    /**
     * Tells whether requests need a key unless their route is open.
     *
     * @return true if the configuration names organisations
     */
    public boolean hasOrganisations() {
        return !organisationsByKey.isEmpty();
    }

    /**
     * Finds a service.
     *
     * @param name the name
     * @return the service, or a profile without limits if the configuration does not describe it
     */
    public ServiceProfile service(String name) {
        return services.getOrDefault(name, new ServiceProfile(name, 0, false, 0, 0, 0));
    }

    /**
     * Returns the bounds on callers.
     *
     * @return the bounds
     */
    public CallerLimits limits() {
        return limits;
    }
}
