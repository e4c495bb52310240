package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlValue;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reports cycles in the dependencies between services. */
final class CycleCheck {

    private CycleCheck() {}

    static void run(List<NamedSection> services) {
        Map<String, NamedSection> byName = new LinkedHashMap<>();
        services.forEach(service -> service.name().ifPresent(name -> byName.putIfAbsent(name, service)));
        Map<String, List<String>> dependencies = new LinkedHashMap<>();
        byName.forEach((name, service) -> dependencies.put(name, dependenciesOf(service)));
        DependencyCycles.find(dependencies)
                .forEach(cycle -> byName.get(cycle.get(0))
                        .section()
                        .optional("depends_on")
                        .orElseThrow()
                        .reject("no dependency cycle", String.join(" -> ", cycle)));
    }

    private static List<String> dependenciesOf(NamedSection service) {
        return service.section().optional("depends_on").filter(YamlValue::isList).stream()
                .flatMap(value -> value.items().stream())
                .map(YamlValue::peek)
                .flatMap(Optional::stream)
                .filter(text -> text.startsWith(DependencyReader.SERVICE_PREFIX))
                .map(text -> text.substring(DependencyReader.SERVICE_PREFIX.length()))
                .toList();
    }
}
