package io.jayhead.routing;

import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.ServiceSpec;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Tells whether a service can be used and, if not, which chain of dependencies leads to the cause.
 *
 * @param ready whether the service can be used
 * @param chain the dependencies from the service to the cause, the service first; empty if ready
 */
public record Readiness(boolean ready, List<String> chain) {

    /** Makes a defensive copy of the list. */
    public Readiness {
        chain = List.copyOf(chain);
    }

    /**
     * Determines whether a service is ready. A service needs an upstream that is not leaving and has loaded the
     * required models, and all services that it depends on must be ready.
     *
     * @param fleet the fleet
     * @param state the state of the upstreams
     * @param service the service
     * @param nowMs the current time, used for the age of load reports in the explanation
     * @return the readiness
     */
    public static Readiness of(FleetSpec fleet, RoutingState state, ServiceName service, long nowMs) {
        return check(fleet, state, service, nowMs, new LinkedHashSet<>())
                .map(chain -> new Readiness(false, chain))
                .orElseGet(() -> new Readiness(true, List.of()));
    }

    /**
     * Formats the dependency chain for log lines and operators.
     *
     * @return the chain with " <- " between its elements, or "ready"
     */
    public String explanation() {
        return ready ? "ready" : String.join(" <- ", chain);
    }

    private static Optional<List<String>> check(
            FleetSpec fleet, RoutingState state, ServiceName name, long nowMs, Set<ServiceName> visiting) {
        String label = "service/" + name;
        if (!visiting.add(name)) {
            return Optional.of(List.of(label, "depends on itself"));
        }
        ServiceSpec spec = fleet.services().get(name);
        if (spec == null) {
            return Optional.of(List.of(label, "not in the fleet"));
        }
        Optional<List<String>> cause =
                upstreamCause(fleet, state, spec, nowMs).or(() -> dependencyCause(fleet, state, spec, nowMs, visiting));
        visiting.remove(name);
        return cause.map(chain -> prepend(label, chain));
    }

    private static Optional<List<String>> dependencyCause(
            FleetSpec fleet, RoutingState state, ServiceSpec spec, long nowMs, Set<ServiceName> visiting) {
        return spec.dependsOn().stream()
                .filter(dependency -> dependency.type() == Dependency.Type.SERVICE)
                .map(dependency -> check(fleet, state, ServiceName.of(dependency.name()), nowMs, visiting))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<List<String>> upstreamCause(
            FleetSpec fleet, RoutingState state, ServiceSpec spec, long nowMs) {
        List<ModelSpec> models = LoadedModels.required(fleet, spec);
        List<String> notes = new ArrayList<>();
        for (UpstreamName upstream : spec.upstreams()) {
            Optional<String> note = note(state.upstream(upstream), models, nowMs);
            if (note.isEmpty()) {
                return Optional.empty();
            }
            notes.add(upstream + ": " + note.get());
        }
        String text = notes.isEmpty() ? "no upstreams" : String.join(", ", notes);
        return Optional.of(models.isEmpty() ? List.of(text) : List.of("model/" + names(models), text));
    }

    private static Optional<String> note(UpstreamState upstream, List<ModelSpec> models, long nowMs) {
        if (upstream.isLeaving()) {
            return Optional.of("leaving");
        }
        return LoadedModels.missing(models, upstream).map(text -> text + age(upstream, nowMs));
    }

    private static String age(UpstreamState upstream, long nowMs) {
        return upstream.report().isPresent() ? " (report " + upstream.ageMs(nowMs) + " ms old)" : "";
    }

    private static String names(List<ModelSpec> models) {
        return String.join("+", models.stream().map(ModelSpec::name).toList());
    }

    private static List<String> prepend(String label, List<String> chain) {
        List<String> result = new ArrayList<>();
        result.add(label);
        result.addAll(chain);
        return result;
    }
}
