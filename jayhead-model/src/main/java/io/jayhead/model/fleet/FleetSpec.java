package io.jayhead.model.fleet;

import io.jayhead.model.OrganisationName;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Describes the whole fleet, indexed by name; immutable.
 *
 * @param name the name of the fleet
 * @param models the models by name
 * @param upstreams the upstreams by name
 * @param services the services by name
 * @param organisations the organisations by name
 * @param budgets the budgets
 * @param budgetsByOrganisation the budgets of each organisation, in the order of {@code budgets}
 * @param organisationsByKeyDigest the organisations by the digests of their API keys
 */
public record FleetSpec(
        String name,
        Map<String, ModelSpec> models,
        Map<UpstreamName, UpstreamSpec> upstreams,
        Map<ServiceName, ServiceSpec> services,
        Map<OrganisationName, OrganisationSpec> organisations,
        List<BudgetSpec> budgets,
        Map<OrganisationName, List<BudgetSpec>> budgetsByOrganisation,
        Map<String, OrganisationSpec> organisationsByKeyDigest) {

    /** Copies the collections. */
    public FleetSpec {
        models = copyOf(models);
        upstreams = copyOf(upstreams);
        services = copyOf(services);
        organisations = copyOf(organisations);
        budgets = List.copyOf(budgets);
        budgetsByOrganisation = copyOf(budgetsByOrganisation);
        organisationsByKeyDigest = copyOf(organisationsByKeyDigest);
    }

    /**
     * Returns a specification from lists that were validated before: names and API keys must be unique.
     *
     * @param name the name of the fleet
     * @param models the models
     * @param upstreams the upstreams
     * @param services the services
     * @param organisations the organisations
     * @param budgets the budgets
     * @return the specification
     * @throws IllegalStateException if the name of a model, upstream, service or organisation or the digest of an API
     *     key is not unique
     */
    public static FleetSpec of(
            String name,
            List<ModelSpec> models,
            List<UpstreamSpec> upstreams,
            List<ServiceSpec> services,
            List<OrganisationSpec> organisations,
            List<BudgetSpec> budgets) {
        Map<String, OrganisationSpec> organisationsByKeyDigest = organisations.stream()
                .flatMap(organisation ->
                        organisation.apiKeyDigests().stream().map(digest -> Map.entry(digest, organisation)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new FleetSpec(
                name,
                index(models, ModelSpec::name),
                index(upstreams, UpstreamSpec::name),
                index(services, ServiceSpec::name),
                index(organisations, OrganisationSpec::name),
                budgets,
                budgets.stream()
                        .collect(Collectors.groupingBy(
                                budget -> budget.id().organisation(), Collectors.toUnmodifiableList())),
                organisationsByKeyDigest);
    }

    /**
     * Returns a fleet without models, upstreams, services, organisations and budgets.
     *
     * @return the empty fleet
     */
    public static FleetSpec empty() {
        return of("empty", List.of(), List.of(), List.of(), List.of(), List.of());
    }

    /**
     * Finds the budget that pays for an organisation's use of a service.
     *
     * @param organisation the organisation
     * @param service the service
     * @return the budget, or empty if the organisation may not use the service
     */
    public Optional<BudgetSpec> budgetFor(OrganisationName organisation, ServiceName service) {
        return budgetsByOrganisation.getOrDefault(organisation, List.of()).stream()
                .filter(budget -> budget.services().contains(service))
                .findFirst();
    }

    /**
     * Copies a map into a hash map. {@link Map#copyOf} uses linear probing, in which names that end in
     * consecutive numbers form long probe sequences.
     */
    private static <K, V> Map<K, V> copyOf(Map<K, V> map) {
        return Collections.unmodifiableMap(new HashMap<>(map));
    }

    private static <K, V> Map<K, V> index(List<V> values, Function<V, K> keyOf) {
        return values.stream().collect(Collectors.toMap(keyOf, Function.identity()));
    }
}
