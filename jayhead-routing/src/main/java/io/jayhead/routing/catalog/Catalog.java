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
        organisationsByKey.values().forEach(organisation -> byName.put(organisation.name(), organisation));
        this.organisations = Map.copyOf(byName);
    }

    /**
     * Builds the catalog of one version of the configuration.
     *
     * @param version the version of the configuration; higher versions replace lower ones
     * @param routes the routes
     * @param services the services by name
     * @param organisationsByKey the organisations by API key; several keys may belong to one organisation
     * @param limits the limits for callers
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
        byHost.replaceAll(
                (host, hostRoutes) -> hostRoutes.stream().sorted(longestFirst).toList());
        return new Catalog(version, Map.copyOf(byHost), services, organisationsByKey, limits);
    }

    /**
     * Returns a catalog without entries, used until a configuration has been read.
     *
     * @return a catalog with version -1
     */
    public static Catalog empty() {
        return of(-1, List.of(), Map.of(), Map.of(), CallerLimits.DEFAULT);
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
     * Finds the organisation that owns an API key.
     *
     * @param key the API key, or null if the request has none
     * @return the organisation, or empty if the key is unknown
     */
    public Optional<Organisation> organisationByKey(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(organisationsByKey.get(key));
    }

    /**
     * Finds an organisation by its name.
     *
     * @param name the name
     * @return the organisation, or empty if no API key belongs to it
     */
    public Optional<Organisation> organisation(String name) {
        return Optional.ofNullable(organisations.get(name));
    }

    /**
     * Returns the sizes of all prepaid budgets.
     *
     * @return the tokens by organisation, without organisations that have no limit
     */
    public Map<String, Long> prepaidTokens() {
        Map<String, Long> tokens = new HashMap<>();
        organisations
                .values()
                .forEach(organisation -> organisation
                        .prepaidTokens()
                        .ifPresent(prepaidTokens -> tokens.put(organisation.name(), prepaidTokens)));
        return tokens;
    }

    /**
     * Tells whether requests need an API key unless their route accepts requests without one.
     *
     * @return true if the configuration lists API keys
     */
    public boolean hasOrganisations() {
        return !organisationsByKey.isEmpty();
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
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
