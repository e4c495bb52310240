package io.jayhead.daemon.recovery;

import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ServiceName;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.BudgetSpec;
import io.jayhead.model.fleet.FleetSpec;
import io.jayhead.model.fleet.ServiceSpec;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.model.fleet.UpstreamType;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Records on which upstreams a budget could be spent since this router adopted its first configuration, or since the
 * first one after a version that it missed; confined to the control thread. It keeps the configuration in force, and
 * the services and upstreams that later versions removed.
 */
public final class TargetHistory {

    /**
     * A grant holder that was first seen this long after the history began has used no older version: a router that has
     * not confirmed its configuration within the freshness limit, at most 3 s, takes no work.
     */
    private static final long LAG_MARGIN_MS = 5_000;

    private final Map<BudgetId, Set<ServiceName>> removedServices = new HashMap<>();
    private final Map<ServiceName, Set<UpstreamSpec>> removedUpstreams = new HashMap<>();
    private final Set<ServiceName> everPriced = new HashSet<>();
    private FleetView current = FleetView.empty();
    private boolean fromFirstVersion;
    private long startedAtMs;

    /**
     * Adds a configuration. If its version does not directly follow the previous one, this router missed a version, and
     * the history is complete only from now on.
     *
     * @param next the newly adopted configuration
     * @param nowMs the time of adoption
     */
    public void add(FleetView next, long nowMs) {
        FleetView previous = current;
        current = next;
        if (next.version() != previous.version() + 1) {
            startedAtMs = nowMs;
            fromFirstVersion = false;
        } else if (previous.version() == 0) {
            startedAtMs = nowMs;
            fromFirstVersion = true;
        }
        keepRemoved(previous.spec(), next.spec());
    }

    /**
     * Returns the upstreams on which a holder could spend a budget.
     *
     * @param budget the budget
     * @param holderSeenAtMs when this router first saw the holder; 0 if the holder may have run before this router
     *     started
     * @return the upstreams by name, or empty if the holder may have used a configuration that this router has not seen
     */
    public Optional<Map<UpstreamName, UpstreamSpec>> targets(BudgetId budget, long holderSeenAtMs) {
        if (!fromFirstVersion && holderSeenAtMs < startedAtMs + LAG_MARGIN_MS) {
            return Optional.empty();
        }
        Set<ServiceName> services = new HashSet<>(removedServices.getOrDefault(budget, Set.of()));
        current.spec().budgets().stream()
                .filter(spec -> spec.id().equals(budget))
                .forEach(spec -> services.addAll(spec.services()));
        Map<UpstreamName, UpstreamSpec> targets = new TreeMap<>();
        for (ServiceName service : services) {
            spendableUpstreams(service)
                    .forEach(upstream -> targets.merge(upstream.name(), upstream, TargetHistory::merge));
        }
        return Optional.of(targets);
    }

    private void keepRemoved(FleetSpec previous, FleetSpec next) {
        Map<BudgetId, Set<ServiceName>> remainingServices = next.budgets().stream()
                .collect(Collectors.toMap(BudgetSpec::id, budget -> Set.copyOf(budget.services())));
        for (BudgetSpec budget : previous.budgets()) {
            budget.services().stream()
                    .filter(service -> !remainingServices
                            .getOrDefault(budget.id(), Set.of())
                            .contains(service))
                    .forEach(service -> removedServices
                            .computeIfAbsent(budget.id(), id -> new HashSet<>())
                            .add(service));
        }
        for (ServiceSpec service : previous.services().values()) {
            List<UpstreamSpec> remaining = upstreams(next, next.services().get(service.name()));
            upstreams(previous, service).stream()
                    .filter(upstream -> remaining.stream().noneMatch(other -> isSameTarget(upstream, other)))
                    .forEach(upstream -> removedUpstreams
                            .computeIfAbsent(service.name(), name -> new HashSet<>())
                            .add(upstream));
        }
        next.services().values().stream()
                .filter(service -> service.priceTokens() > 0)
                .forEach(service -> everPriced.add(service.name()));
    }

    private Set<UpstreamSpec> spendableUpstreams(ServiceName name) {
        Set<UpstreamSpec> all = new HashSet<>(removedUpstreams.getOrDefault(name, Set.of()));
        all.addAll(upstreams(current.spec(), current.spec().services().get(name)));
        return all.stream()
                .filter(upstream -> upstream.type() == UpstreamType.MODEL_ENGINE || everPriced.contains(name))
                .map(TargetHistory::withoutFencingIfPlainService)
                .collect(Collectors.toSet());
    }

    /**
     * Treats plain services as unfenced: their fence answers do not state prices, so they do not prove what a priced
     * call cost.
     */
    private static UpstreamSpec withoutFencingIfPlainService(UpstreamSpec upstream) {
        return upstream.type() == UpstreamType.MODEL_ENGINE ? upstream : withoutFencing(upstream);
    }

    /**
     * Merges two versions of an upstream. If its type or address changed, or if it did not always check fencing, its
     * fence answer does not prove what ran under the other version, so it counts as unfenced.
     */
    private static UpstreamSpec merge(UpstreamSpec first, UpstreamSpec second) {
        return isSameTarget(first, second) ? first : withoutFencing(first);
    }

    private static boolean isSameTarget(UpstreamSpec first, UpstreamSpec second) {
        return first.name().equals(second.name())
                && first.type() == second.type()
                && first.address().equals(second.address())
                && first.checksFencing() == second.checksFencing();
    }

    private static UpstreamSpec withoutFencing(UpstreamSpec upstream) {
        return new UpstreamSpec(
                upstream.name(),
                upstream.type(),
                upstream.availabilityZone(),
                upstream.address(),
                false,
                upstream.leaving());
    }

    private static List<UpstreamSpec> upstreams(FleetSpec spec, ServiceSpec service) {
        return service == null
                ? List.of()
                : service.upstreams().stream()
                        .map(spec.upstreams()::get)
                        .filter(Objects::nonNull)
                        .toList();
    }
}
