package io.jayhead.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jayhead.admission.AdmissionState;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Configuration;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.recovery.ReclaimView;
import io.jayhead.daemon.recovery.RecoveryService;
import io.jayhead.daemon.upstream.RoutingService;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.routing.Readiness;
import io.jayhead.routing.UpstreamState;
import java.util.List;
import java.util.Locale;

/** Writes the state of a router as the JSON document that operators read; must be called on the control thread. */
public final class StatusDocument {

    private StatusDocument() {}

    /**
     * Returns the status document.
     *
     * @param configuration the configuration in force
     * @param membership the registered and live routers
     * @param monitor tells whether the platform is down
     * @param routing the routing state
     * @param admission the admission state
     * @param charges counts the pending and held charges
     * @param recovery lists the reclaims of this router
     * @param clock the clock for the ages of load reports
     * @return the document
     */
    public static ObjectNode of(
            Configuration configuration,
            Membership membership,
            PlatformMonitor monitor,
            RoutingService routing,
            AdmissionState admission,
            ChargeService charges,
            RecoveryService recovery,
            HybridClock clock) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("vm", membership.self().vm().value());
        root.put("incarnation", membership.self().incarnation().value());
        root.put("availability_zone", membership.self().zone().value());
        root.put("fleet_version", configuration.view().version());
        root.put("fresh", configuration.isFresh());
        root.put("draining", admission.draining());
        root.put("platform_down", monitor.isDown());
        root.put("in_flight", admission.inFlight());
        root.put("queued", admission.queue().size());
        root.put("pending_charges", charges.pendingCharges());
        root.put("held_charges", charges.heldCharges());
        ArrayNode live = root.putArray("live_routers");
        membership.live().stream().map(Member::vm).forEach(vm -> live.add(vm.value()));
        ArrayNode reclaims = root.putArray("reclaims");
        recovery.views().forEach(view -> reclaims.add(reclaim(view)));
        ArrayNode services = root.putArray("services");
        List<ServiceName> names = configuration.view().spec().services().keySet().stream()
                .sorted()
                .toList();
        names.forEach(name -> services.add(service(name, routing.readiness(name))));
        ArrayNode upstreams = root.putArray("upstreams");
        List<UpstreamName> upstreamNames = configuration.view().spec().upstreams().keySet().stream()
                .sorted()
                .toList();
        upstreamNames.forEach(
                name -> upstreams.add(upstream(name, routing.state().upstream(name), clock.nowMs())));
        return root;
    }

    private static ObjectNode reclaim(ReclaimView view) {
        ObjectNode reclaim = JsonNodeFactory.instance.objectNode();
        reclaim.put("budget", view.budget().objectName());
        reclaim.put("holder", view.holder().value());
        reclaim.put("step", view.step().name().toLowerCase(Locale.ROOT));
        reclaim.put("written_off_because", view.reason());
        reclaim.put("stranded_tokens", view.strandedTokens());
        return reclaim;
    }

    private static ObjectNode service(ServiceName name, Readiness readiness) {
        ObjectNode service = JsonNodeFactory.instance.objectNode();
        service.put("name", name.value());
        service.put("ready", readiness.ready());
        service.put("held_back_by", readiness.ready() ? "" : readiness.explanation());
        return service;
    }

    private static ObjectNode upstream(UpstreamName name, UpstreamState state, long nowMs) {
        ObjectNode upstream = JsonNodeFactory.instance.objectNode();
        upstream.put("name", name.value());
        upstream.put("leaving", state.isLeaving());
        upstream.put("report_age_ms", state.report().isPresent() ? state.ageMs(nowMs) : -1);
        upstream.put("in_flight", state.inFlight().size());
        return upstream;
    }
}
