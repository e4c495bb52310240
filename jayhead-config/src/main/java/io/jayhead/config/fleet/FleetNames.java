package io.jayhead.config.fleet;

import io.jayhead.model.RequestKind;
import io.jayhead.model.fleet.UpstreamType;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Holds the names that a fleet text declares, so that an unknown reference is reported at its own line.
 *
 * @param weights the names of the weights
 * @param adapters the names of the adapters
 * @param models the names of the models
 * @param upstreams the types of the upstreams by name; a type is empty if it is missing or invalid
 * @param services the kinds of the services by name; a kind is empty if it is missing or invalid
 * @param organisations the names of the organisations
 */
record FleetNames(
        Set<String> weights,
        Set<String> adapters,
        Set<String> models,
        Map<String, Optional<UpstreamType>> upstreams,
        Map<String, Optional<RequestKind>> services,
        Set<String> organisations) {

    static FleetNames of(FleetSections sections) {
        return new FleetNames(
                NamedSection.names(sections.weights()),
                NamedSection.names(sections.adapters()),
                NamedSection.names(sections.models()),
                attributeByName(sections.upstreams(), "type", FleetNames::upstreamType),
                attributeByName(sections.services(), "kind", RequestKind::parse),
                NamedSection.names(sections.organisations()));
    }

    Set<String> servicesOf(RequestKind kind) {
        return services.entrySet().stream()
                .filter(entry -> entry.getValue().equals(Optional.of(kind)))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    static Optional<UpstreamType> upstreamType(String text) {
        return Stream.of(UpstreamType.values())
                .filter(type -> configName(type).equals(text))
                .findFirst();
    }

    static String configName(UpstreamType type) {
        return type.name().toLowerCase(Locale.ROOT);
    }

    private static <T> Map<String, Optional<T>> attributeByName(
            List<NamedSection> sections, String key, Function<String, Optional<T>> parser) {
        Map<String, Optional<T>> attributes = new HashMap<>();
        for (NamedSection entry : sections) {
            Optional<T> attribute = entry.section().peek(key).flatMap(parser);
            entry.name().ifPresent(name -> attributes.putIfAbsent(name, attribute));
        }
        return Map.copyOf(attributes);
    }
}
