package io.jayhead.routing.review;

import io.jayhead.routing.catalog.CallerKeys;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.ServiceProfile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Lists what differs between the configuration in force and the next one, and what that does to requests. */
public final class CatalogComparison {

    private static final String UNDER_WAY = "requests under way end as they began";

    private final Catalog inForce;
    private final Catalog next;
    private final List<CatalogChange> changes = new ArrayList<>();

    private CatalogComparison(Catalog inForce, Catalog next) {
        this.inForce = inForce;
        this.next = next;
    }

    /**
     * Compares two configurations.
     *
     * @param inForce the configuration in force
     * @param next the configuration to be sent
     * @return the changes by entry: routes, services, organisations, limits
     */
    public static List<CatalogChange> of(Catalog inForce, Catalog next) {
        CatalogComparison comparison = new CatalogComparison(inForce, next);
        comparison.compareRoutes();
        comparison.compareServices();
        comparison.compareOrganisations();
        comparison.compareLimits();
        return List.copyOf(comparison.changes);
    }

    /**
     * Tells whether routers ignore a configuration because that in force is at least as high.
     *
     * @param inForce the configuration in force
     * @param next the configuration to be sent
     * @return the finding; empty if the version is higher
     */
    public static Optional<Finding> versionFinding(Catalog inForce, Catalog next) {
        if (next.version() > inForce.version()) {
            return Optional.empty();
        }
        return Optional.of(new Finding(
                FindingKind.VERSION_NOT_HIGHER,
                "Version",
                next.version() + " is not above " + inForce.version() + ", which is in force"));
    }

    private void compareRoutes() {
        Map<String, Route> before = byName(inForce.routes(), Route::name);
        Map<String, Route> after = byName(next.routes(), Route::name);
        for (String name : allNames(before.keySet(), after.keySet())) {
            Route old = before.get(name);
            Route route = after.get(name);
            String entry = "Routes/" + name;
            if (old == null) {
                add(entry, "added for " + place(route), "requests there are taken from then on");
            } else if (route == null) {
                add(entry, "removed from " + place(old), UNDER_WAY + "; new ones " + fateOf(old));
            } else if (!old.equals(route)) {
                add(entry, old + " -> " + route, UNDER_WAY + "; new ones follow the new values");
            }
        }
    }

    /** Tells what happens to requests that a removed route matched. */
    private String fateOf(Route removed) {
        return next.route(removed.host(), removed.pathPrefix())
                .map(route -> "go to route " + route.name())
                .orElse("get 404");
    }

    private void compareServices() {
        for (String name : allNames(inForce.services().keySet(), next.services().keySet())) {
            ServiceProfile old = inForce.services().get(name);
            ServiceProfile service = next.services().get(name);
            String entry = "Services/" + name;
            if (old == null) {
                add(entry, "added", "none until a route leads to it");
            } else if (service == null) {
                add(entry, "removed", UNDER_WAY + "; its limits no longer apply");
            } else if (!old.equals(service)) {
                add(entry, old + " -> " + service, UNDER_WAY + "; new ones follow the new limits");
            }
        }
    }

    private void compareOrganisations() {
        CallerKeys before = inForce.keys();
        CallerKeys after = next.keys();
        if (before.areRequired() != after.areRequired()) {
            boolean required = after.areRequired();
            add(
                    "Tenants",
                    required ? "keys are required" : "keys are no longer required",
                    required ? "new requests without a key get 401" : "new requests are served without a key");
        }
        Map<String, Organisation> old = byName(before.organisations(), Organisation::name);
        Map<String, Organisation> current = byName(after.organisations(), Organisation::name);
        for (String name : allNames(old.keySet(), current.keySet())) {
            compareOrganisation(name, old.get(name), current.get(name));
        }
    }

    private void compareOrganisation(String name, Organisation old, Organisation organisation) {
        String entry = "Tenants/" + name;
        compareKeys(name, entry);
        if (old == null) {
            add(entry, "added", "its keys are accepted from then on");
        } else if (organisation == null) {
            add(entry, "removed", UNDER_WAY + "; new ones get 401");
        } else {
            compareBudget(entry, old.prepaidTokens(), organisation.prepaidTokens());
            boolean others = !old.priority().equals(organisation.priority())
                    || !old.regions().equals(organisation.regions());
            if (others) {
                add(entry, old + " -> " + organisation, UNDER_WAY + "; new ones follow the new values");
            }
        }
    }

    private void compareKeys(String name, String entry) {
        Set<String> before = inForce.keys().keysOf(name);
        Set<String> after = next.keys().keysOf(name);
        int revoked = missingIn(after, before);
        int added = missingIn(before, after);
        if (revoked > 0) {
            add(entry, revoked + " keys revoked", UNDER_WAY + "; new ones with these keys get 401");
        }
        if (added > 0) {
            add(entry, added + " keys added", "new requests with these keys are accepted");
        }
    }

    private void compareBudget(String entry, OptionalLong before, OptionalLong after) {
        if (before.equals(after)) {
            return;
        }
        boolean lowered = after.isPresent() && after.getAsLong() < before.orElse(Long.MAX_VALUE);
        add(
                entry,
                "prepaid tokens " + text(before) + " -> " + text(after),
                lowered
                        ? "what routers have taken stays spent; generations beyond the rest get 402"
                        : "generations that were refused for the budget are served again");
    }

    private void compareLimits() {
        if (!inForce.limits().equals(next.limits())) {
            add(
                    "Limits",
                    inForce.limits() + " -> " + next.limits(),
                    "open connections keep the limits in force when they were accepted");
        }
    }

    private void add(String entry, String change, String effect) {
        changes.add(new CatalogChange(entry, change, effect));
    }

    private static String place(Route route) {
        return route.host() + route.pathPrefix();
    }

    private static String text(OptionalLong tokens) {
        return tokens.isPresent() ? Long.toString(tokens.getAsLong()) : "unlimited";
    }

    private static int missingIn(Set<String> keys, Set<String> others) {
        Set<String> missing = new HashSet<>(others);
        missing.removeAll(keys);
        return missing.size();
    }

    private static Set<String> allNames(Set<String> first, Set<String> second) {
        Set<String> all = new TreeSet<>(first);
        all.addAll(second);
        return all;
    }

    private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
        return entries.stream()
                .collect(Collectors.toMap(name, Function.identity(), (first, second) -> first, HashMap::new));
    }
}
