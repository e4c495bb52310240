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
 * Lists the names that the text declares, so that references are checked where they stand.
 *
 * @param weights the weights
 * @param adapters the adapters
 * @param models the models
 * @param upstreams the upstreams with their types; the type is empty if the text has none that is valid
 * @param services the services with their kinds; the kind is empty if the text has none that is valid
 * @param organisations the organisations
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
                withAttribute(sections.upstreams(), "type", FleetNames::upstreamType),
                withAttribute(sections.services(), "kind", RequestKind::parse),
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

    private static <T> Map<String, Optional<T>> withAttribute(
            List<NamedSection> sections, String key, Function<String, Optional<T>> parser) {
        Map<String, Optional<T>> attributes = new HashMap<>();
        for (NamedSection named : sections) {
            Optional<T> attribute = named.section().peek(key).flatMap(parser);
            named.name().ifPresent(name -> attributes.putIfAbsent(name, attribute));
        }
        return Map.copyOf(attributes);
    }
}
