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
 * Knows on which upstreams a budget could be spent since this router adopted its first configuration; belongs to the
 * control thread. It keeps the configuration in force and what later versions removed.
 */
public final class TargetHistory {

    /**
     * A holder seen this long after the history began has used no older version: one that lags by more than the
     * freshness limit, at most 3 s, takes no work.
     */
    private static final long LAG_MARGIN_MS = 5_000;

    private final Map<BudgetId, Set<ServiceName>> removedServices = new HashMap<>();
    private final Map<ServiceName, Set<UpstreamSpec>> removedUpstreams = new HashMap<>();
    private final Set<ServiceName> everPriced = new HashSet<>();
    private FleetView current = FleetView.empty();
    private boolean fromFirstVersion;
    private long beganAtMs;

    /**
     * Adds a configuration.
     *
     * @param next the configuration adopted
     * @param nowMs the time
     */
    public void adopted(FleetView next, long nowMs) {
        FleetView before = current;
        current = next;
        if (next.version() != before.version() + 1) {
            beganAtMs = nowMs;
            fromFirstVersion = false;
        } else if (before.version() == 0) {
            beganAtMs = nowMs;
            fromFirstVersion = true;
        }
        keepRemoved(before.spec(), next.spec());
    }

    /**
     * Returns the upstreams on which a holder could spend a budget.
     *
     * @param budget the budget
     * @param holderSeenAtMs when the holder was first seen; 0 if it may have run before this router
     * @return the upstreams by name, or empty if the configurations that the holder used are not all known
     */
    public Optional<Map<UpstreamName, UpstreamSpec>> targets(BudgetId budget, long holderSeenAtMs) {
        if (!fromFirstVersion && holderSeenAtMs < beganAtMs + LAG_MARGIN_MS) {
            return Optional.empty();
        }
        Set<ServiceName> services = new HashSet<>(removedServices.getOrDefault(budget, Set.of()));
        current.spec().budgets().stream()
                .filter(spec -> spec.id().equals(budget))
                .forEach(spec -> services.addAll(spec.services()));
        Map<UpstreamName, UpstreamSpec> targets = new TreeMap<>();
        for (ServiceName service : services) {
            spendable(service).forEach(upstream -> targets.merge(upstream.name(), upstream, TargetHistory::both));
        }
        return Optional.of(targets);
    }

    private void keepRemoved(FleetSpec before, FleetSpec next) {
        Map<BudgetId, Set<ServiceName>> kept = next.budgets().stream()
                .collect(Collectors.toMap(BudgetSpec::id, budget -> Set.copyOf(budget.services())));
        for (BudgetSpec budget : before.budgets()) {
            budget.services().stream()
                    .filter(service -> !kept.getOrDefault(budget.id(), Set.of()).contains(service))
                    .forEach(service -> removedServices
                            .computeIfAbsent(budget.id(), id -> new HashSet<>())
                            .add(service));
        }
        for (ServiceSpec service : before.services().values()) {
            List<UpstreamSpec> remaining = upstreams(next, next.services().get(service.name()));
            upstreams(before, service).stream()
                    .filter(upstream -> remaining.stream().noneMatch(other -> isSame(upstream, other)))
                    .forEach(upstream -> removedUpstreams
                            .computeIfAbsent(service.name(), name -> new HashSet<>())
                            .add(upstream));
        }
        next.services().values().stream()
                .filter(service -> service.priceTokens() > 0)
                .forEach(service -> everPriced.add(service.name()));
    }

    private Set<UpstreamSpec> spendable(ServiceName name) {
        Set<UpstreamSpec> all = new HashSet<>(removedUpstreams.getOrDefault(name, Set.of()));
        all.addAll(upstreams(current.spec(), current.spec().services().get(name)));
        return all.stream()
                .filter(upstream -> upstream.type() == UpstreamType.MODEL_ENGINE || everPriced.contains(name))
                .map(TargetHistory::withProof)
                .collect(Collectors.toSet());
    }

    /** The fence answer of a plain service does not state prices, so it proves nothing about a priced call. */
    private static UpstreamSpec withProof(UpstreamSpec upstream) {
        return upstream.type() == UpstreamType.MODEL_ENGINE ? upstream : unfenced(upstream);
    }

    /** An upstream that moved, or that did not always check fencing, cannot prove what ran at the earlier one. */
    private static UpstreamSpec both(UpstreamSpec first, UpstreamSpec second) {
        return isSame(first, second) ? first : unfenced(first);
    }

    private static boolean isSame(UpstreamSpec first, UpstreamSpec second) {
        return first.name().equals(second.name())
                && first.type() == second.type()
                && first.address().equals(second.address())
                && first.checksFencing() == second.checksFencing();
    }

    private static UpstreamSpec unfenced(UpstreamSpec upstream) {
        return new UpstreamSpec(
                upstream.name(), upstream.type(), upstream.zone(), upstream.address(), false, upstream.leaving());
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
