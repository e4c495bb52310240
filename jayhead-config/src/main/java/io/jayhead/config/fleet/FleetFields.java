package io.jayhead.config.fleet;

import io.jayhead.model.fleet.BudgetSpec;
import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.IdempotencyKeySource;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.OrganisationSpec;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/** Renders the fields of a fleet as strings under the keys of the fleet text, so that fleets can be compared. */
final class FleetFields {

    private FleetFields() {}

    /** Returns the entries of a section by name. Each entry holds its fields by key; absent fields are left out. */
    static SortedMap<String, SortedMap<String, String>> of(FleetSpec spec, FleetSection section) {
        return switch (section) {
            case FLEET -> index(List.of(spec.name()), name -> "name", FleetFields::fleet);
            case MODELS -> index(spec.models().values(), ModelSpec::name, FleetFields::model);
            case UPSTREAMS ->
                index(spec.upstreams().values(), upstream -> upstream.name().value(), FleetFields::upstream);
            case SERVICES ->
                index(spec.services().values(), service -> service.name().value(), FleetFields::service);
            case ORGANISATIONS ->
                index(
                        spec.organisations().values(),
                        organisation -> organisation.name().value(),
                        FleetFields::organisation);
            case BUDGETS -> index(spec.budgets(), budget -> budget.id().objectName(), FleetFields::budget);
        };
    }

    private static <T> SortedMap<String, SortedMap<String, String>> index(
            Collection<T> values, Function<T, String> name, Function<T, SortedMap<String, String>> fields) {
        SortedMap<String, SortedMap<String, String>> entries = new TreeMap<>();
        values.forEach(value -> entries.put(name.apply(value), fields.apply(value)));
        return entries;
    }

    private static SortedMap<String, String> fleet(String name) {
        return new TreeMap<>(Map.of("fleet", name));
    }

    private static SortedMap<String, String> model(ModelSpec model) {
        SortedMap<String, String> fields = new TreeMap<>();
        fields.put("weights", model.weights());
        model.adapter().ifPresent(adapter -> fields.put("adapter", adapter));
        return fields;
    }

    private static SortedMap<String, String> upstream(UpstreamSpec upstream) {
        SortedMap<String, String> fields = new TreeMap<>();
        fields.put("type", FleetNames.configName(upstream.type()));
        fields.put("availability_zone", upstream.availabilityZone().value());
        fields.put("address", upstream.address());
        fields.put("checks_fencing", String.valueOf(upstream.checksFencing()));
        fields.put("leaving", String.valueOf(upstream.leaving()));
        return fields;
    }

    private static SortedMap<String, String> service(ServiceSpec service) {
        SortedMap<String, String> fields = new TreeMap<>();
        fields.put("kind", service.kind().configName());
        fields.put("upstreams", service.upstreams().toString());
        fields.put(
                "depends_on",
                service.dependsOn().stream()
                        .map(FleetFields::dependency)
                        .toList()
                        .toString());
        if (service.kind().isGeneration()) {
            fields.put("max_output_tokens", String.valueOf(service.maxOutputTokens()));
        } else {
            fields.put("path", service.path());
            fields.put("price_tokens", String.valueOf(service.priceTokens()));
        }
        if (service.idempotencyKeySource() instanceof IdempotencyKeySource.Header header) {
            fields.put("idempotency_key", "header " + header.name());
        }
        if (service.idempotencyKeySource() instanceof IdempotencyKeySource.Pointer pointer) {
            fields.put("idempotency_key", "pointer " + pointer.pointer());
        }
        service.statusService().ifPresent(status -> fields.put("status_service", status.value()));
        return fields;
    }

    private static String dependency(Dependency dependency) {
        return dependency.type().name().toLowerCase(Locale.ROOT) + "/" + dependency.name();
    }

    private static SortedMap<String, String> organisation(OrganisationSpec organisation) {
        SortedMap<String, String> fields = new TreeMap<>();
        fields.put("api_key_sha256", organisation.apiKeyDigests().toString());
        fields.put("priority", String.valueOf(organisation.priority()));
        fields.put("max_in_flight", String.valueOf(organisation.maxInFlight()));
        return fields;
    }

    private static SortedMap<String, String> budget(BudgetSpec budget) {
        return new TreeMap<>(Map.of("services", budget.services().toString()));
    }
}
