package io.jayhead.settlement.reclaim;

import io.jayhead.model.UpstreamName;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the state of a reclaim; immutable.
 *
 * @param plan the holder to reclaim from and the upstreams to fence
 * @param step the step in progress, or the final step
 * @param acknowledged the upstreams that raised the fencing token
 * @param cancelled the charges of the requests that these upstreams cancelled
 */
public record ReclaimState(
        ReclaimPlan plan, ReclaimStep step, Set<UpstreamName> acknowledged, List<ChargeEntry> cancelled) {

    /** Copies the collections. */
    public ReclaimState {
        acknowledged = Set.copyOf(acknowledged);
        cancelled = List.copyOf(cancelled);
    }

    ReclaimState withStep(ReclaimStep next) {
        return new ReclaimState(plan, next, acknowledged, cancelled);
    }

    ReclaimState withAcknowledged(ReclaimEvent.FenceAcknowledged event) {
        if (acknowledged.contains(event.upstream())) {
            return this;
        }
        Set<UpstreamName> upstreams = new HashSet<>(acknowledged);
        upstreams.add(event.upstream());
        List<ChargeEntry> entries = new ArrayList<>(cancelled);
        entries.addAll(event.cancelled());
        return new ReclaimState(plan, step, upstreams, entries);
    }

    boolean allAcknowledged() {
        return plan.targets().stream().map(FenceTarget::upstream).allMatch(acknowledged::contains);
    }
}
