package io.jayhead.routing;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.RequestKind;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.Dependency;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.IdempotencyKeySource;
import io.jayhead.model.fleet.ModelSpec;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Builds fleets, load reports and requests for the routing tests. */
final class Fixtures {

    static final ServiceName PLAN = ServiceName.of("plan");
    static final ServiceName DIGEST = ServiceName.of("digest");
    static final AvailabilityZone ZONE = AvailabilityZone.of("az-0");

    private Fixtures() {}

    static UpstreamName engine(int number) {
        return UpstreamName.of("engine-" + number);
    }

    /** Returns a fleet in which the service "digest" depends on the service "plan", and both on the model "large". */
    static FleetSpec fleet(int engines, int zones) {
        List<UpstreamSpec> upstreams = IntStream.range(0, engines)
                .mapToObj(i -> new UpstreamSpec(
                        engine(i),
                        UpstreamType.MODEL_ENGINE,
                        AvailabilityZone.of("az-" + i % zones),
                        "http://127.0.0.1",
                        true,
                        false))
                .toList();
        Dependency model = new Dependency(Dependency.Type.MODEL, "large");
        Dependency plan = new Dependency(Dependency.Type.SERVICE, "plan");
        return FleetSpec.of(
                "test",
                List.of(new ModelSpec("large", "large-v3", Optional.of("plan-adapter"))),
                upstreams,
                List.of(service(PLAN, upstreams, List.of(model)), service(DIGEST, upstreams, List.of(model, plan))),
                List.of(),
                List.of());
    }

    static LoadReport report(int queued, int running, long ageMs) {
        return new LoadReport(queued, running, 8, 400, false, ageMs, Set.of("large-v3"), Set.of("plan-adapter"));
    }

    static RoutingState state(int engines, RoutingPolicy policy) {
        RoutingParameters parameters = RoutingParameters.defaults().withPolicy(policy);
        return RoutingState.empty(parameters).withFleet(fleet(engines, 3));
    }

    static RoutingRequest request() {
        return RoutingRequest.of(PLAN, 5, "", 100, ZONE);
    }

    private static ServiceSpec service(ServiceName name, List<UpstreamSpec> upstreams, List<Dependency> dependsOn) {
        List<UpstreamName> names = upstreams.stream().map(UpstreamSpec::name).toList();
        return new ServiceSpec(
                name,
                RequestKind.LONG_GENERATION,
                names,
                dependsOn,
                1_000,
                "",
                IdempotencyKeySource.None.INSTANCE,
                0,
                Optional.empty());
    }
}
