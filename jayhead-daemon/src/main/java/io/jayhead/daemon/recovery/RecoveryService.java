package io.jayhead.daemon.recovery;

import io.jayhead.daemon.budget.ReclaimLedgerEditor.OpenEntry;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Configuration;
import io.jayhead.daemon.fleet.FleetView;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.VmName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.platform.VmRecord;
import io.jayhead.settlement.reclaim.FenceTarget;
import io.jayhead.settlement.reclaim.ReclaimPlan;
import io.jayhead.settlement.reclaim.ReclaimStep;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * Removes lost routers and reclaims their grants; confined to the control thread.
 *
 * <p>Time and the VM list decide only which router tries a reclaim and when. A reclaim is safe because of the mark in
 * the ledger, the fences at the upstreams and the conditional updates.
 */
public final class RecoveryService {

    /** Higher than the fencing token 1, with which an incarnation dispatches its requests. */
    private static final long RECLAIM_FENCING_TOKEN = 2;

    /** Limits how many routers try the same reclaim, because each of them lists all budgets in the platform. */
    private static final int RECLAIMING_ROUTERS_MAX = 3;

    private static final int BACKOFF_PERIODS_MAX = 64;

    /**
     * A sweep finds entries of incarnations that no running router has seen, such as after a restart of all routers.
     */
    private static final int SWEEP_PERIODS = 10;

    /**
     * One day at the default reclaim delay; bounds the memory for lost routers whose grants other routers reclaimed.
     */
    private static final int RETENTION_PERIODS = 1_440;

    private static final int CLOSED_VIEWS_MAX = 64;

    private final ReclaimComponents components;
    private final Configuration configuration;
    private final HybridClock clock;
    private final long reclaimAfterMs;
    private final LostRouters routers = new LostRouters();
    private final TargetHistory history = new TargetHistory();
    private final Deque<OpenEntry> queue = new ArrayDeque<>();
    private final Map<Grant, ReclaimView> views = new LinkedHashMap<>();
    private boolean reclaiming;
    private long nextSweepMs;
    private volatile long strandedTokens;

    private record Grant(BudgetId budget, IncarnationId holder) {}

    /**
     * Creates the service.
     *
     * @param components the components that the steps of a reclaim use
     * @param configuration the configuration in force
     * @param clock the clock
     * @param reclaimAfterMs how long a router must be gone before its grants are reclaimed
     */
    public RecoveryService(
            ReclaimComponents components, Configuration configuration, HybridClock clock, long reclaimAfterMs) {
        this.components = components;
        this.configuration = configuration;
        this.clock = clock;
        this.reclaimAfterMs = reclaimAfterMs;
        this.nextSweepMs = clock.nowMs() + reclaimAfterMs;
    }

    /**
     * Adds a newly adopted configuration to the history of upstreams on which budgets could be spent.
     *
     * @param view the configuration
     */
    public void onConfigurationAdopted(FleetView view) {
        history.add(view, clock.nowMs());
    }

    /**
     * Updates the lost routers from a VM list and starts the reclaims that are due. Does nothing until the registered
     * routers have been read once.
     *
     * @param vms all VMs that the platform lists
     */
    public void updateVms(List<VmRecord> vms) {
        if (components.membership().listReadAtMs() == 0) {
            return;
        }
        Set<VmName> names = vms.stream().map(VmRecord::name).collect(Collectors.toSet());
        routers.observe(names, components.membership().peers(), clock.nowMs());
        routers.removeGoneBefore(clock.nowMs() - reclaimAfterMs * RETENTION_PERIODS);
        // A router that cannot confirm its configuration may itself be the one that is cut off.
        if (!reclaiming && configuration.isFresh()) {
            startDueReclaims();
        }
    }

    /**
     * Returns the reclaims that this router has started.
     *
     * @return the reclaims in the order of their last step, the latest last; old closed reclaims are left out
     */
    public List<ReclaimView> views() {
        return List.copyOf(views.values());
    }

    /**
     * Returns the tokens of the grants that this router is reclaiming or has written off; may be called from any
     * thread.
     *
     * @return the sum of granted minus consumed tokens
     */
    public long strandedTokens() {
        return strandedTokens;
    }

    private void startDueReclaims() {
        long nowMs = clock.nowMs();
        List<IncarnationId> due = routers.gone().stream().filter(this::isDue).toList();
        due.forEach(this::unregister);
        boolean sweepDue = nowMs >= nextSweepMs;
        if (sweepDue) {
            nextSweepMs = nowMs + reclaimAfterMs * SWEEP_PERIODS;
        }
        if (due.isEmpty() && !(sweepDue && rank("budgets") == 0)) {
            return;
        }
        due.forEach(incarnation -> routers.recordAttempt(incarnation, nowMs + backoffMs(incarnation)));
        reclaiming = true;
        Set<IncarnationId> present = presentIncarnations();
        components
                .ledgers()
                .openEntries(holder -> !present.contains(holder))
                .whenComplete((entries, failure) -> components
                        .control()
                        .execute(() -> reclaimDueEntries(due, failure == null ? entries : Optional.empty())));
    }

    private boolean isDue(IncarnationId incarnation) {
        LostRouters.TrackedRouter tracked = routers.find(incarnation).orElseThrow();
        long nowMs = clock.nowMs();
        long goneMs = nowMs - tracked.goneSinceMs();
        if (goneMs < reclaimAfterMs || nowMs < tracked.nextAttemptMs()) {
            return false;
        }
        int rank = rank(incarnation.value());
        if (rank < RECLAIMING_ROUTERS_MAX && goneMs >= reclaimAfterMs * (1 + rank)) {
            return true;
        }
        routers.postpone(incarnation, nowMs + reclaimAfterMs);
        return false;
    }

    private boolean isLost(IncarnationId incarnation) {
        return routers.find(incarnation)
                .filter(tracked -> tracked.isGone() && clock.nowMs() - tracked.goneSinceMs() >= reclaimAfterMs)
                .isPresent();
    }

    private long backoffMs(IncarnationId incarnation) {
        int attempts = routers.find(incarnation).orElseThrow().attempts();
        return reclaimAfterMs * Math.min(BACKOFF_PERIODS_MAX, 1L << Math.min(attempts, BACKOFF_PERIODS_MAX - 2));
    }

    /** Returns the position of this router in the rendezvous order of the live routers; the router at 0 tries first. */
    private int rank(String key) {
        List<Member> order = components.membership().live().stream()
                .sorted(Comparator.comparing(member -> RequestKey.sha256(key + "/" + member.vm())))
                .toList();
        int rank = order.indexOf(components.membership().self());
        return rank < 0 ? RECLAIMING_ROUTERS_MAX : rank;
    }

    /** Removes the registration of a lost router, so that a majority of the registered routers stays reachable. */
    private void unregister(IncarnationId incarnation) {
        routers.find(incarnation)
                .flatMap(LostRouters.TrackedRouter::registration)
                .ifPresent(member -> {
                    components
                            .decisions()
                            .record("recovery", "-", "vm=%s holder=%s step=unregister", member.vm(), incarnation);
                    components.membership().remove(member);
                });
    }

    private Set<IncarnationId> presentIncarnations() {
        Set<IncarnationId> present = new HashSet<>();
        present.add(components.membership().self().incarnation());
        components.membership().registeredRouters().stream()
                .map(Member::incarnation)
                .filter(routers::isPresent)
                .forEach(present::add);
        return present;
    }

    private void reclaimDueEntries(List<IncarnationId> due, Optional<List<OpenEntry>> openEntries) {
        if (openEntries.isEmpty()) {
            reclaiming = false;
            return;
        }
        List<OpenEntry> entries = openEntries.get();
        entries.forEach(entry -> routers.addHolder(entry.holder(), clock.nowMs()));
        Set<Grant> open = entries.stream().map(RecoveryService::grant).collect(Collectors.toSet());
        views.entrySet()
                .removeIf(view -> view.getValue().step() != ReclaimStep.CLOSED && !open.contains(view.getKey()));
        due.stream()
                .filter(incarnation ->
                        open.stream().noneMatch(grant -> grant.holder().equals(incarnation)))
                .forEach(routers::removeSettled);
        entries.stream().filter(entry -> due.contains(entry.holder())).forEach(queue::add);
        startNext();
    }

    private void startNext() {
        OpenEntry entry = queue.poll();
        if (entry == null) {
            reclaiming = false;
            return;
        }
        long seenAtMs = routers.find(entry.holder())
                .map(LostRouters.TrackedRouter::seenAtMs)
                .orElse(0L);
        Map<UpstreamName, UpstreamSpec> targets =
                history.targets(entry.budget(), seenAtMs).orElse(Map.of());
        ReclaimPlan plan = new ReclaimPlan(
                entry.budget(),
                entry.holder(),
                RECLAIM_FENCING_TOKEN,
                UUID.randomUUID().toString(),
                targets.values().stream()
                        .map(upstream -> new FenceTarget(upstream.name(), upstream.checksFencing()))
                        .toList());
        new ReclaimRun(components, targets, this::isLost, (step, reason) -> updateView(entry, step, reason))
                .start(plan);
    }

    private void updateView(OpenEntry entry, ReclaimStep step, String reason) {
        boolean closed = step == ReclaimStep.CLOSED;
        long strandedTokens = closed ? 0 : entry.strandedTokens();
        views.remove(grant(entry));
        views.put(grant(entry), new ReclaimView(entry.budget(), entry.holder(), step, reason, strandedTokens));
        if (closed) {
            removeOldestClosedViews();
        }
        updateStrandedTokens();
        if (closed || step == ReclaimStep.WRITTEN_OFF) {
            components.control().execute(this::startNext);
        }
    }

    private void updateStrandedTokens() {
        strandedTokens =
                views.values().stream().mapToLong(ReclaimView::strandedTokens).sum();
    }

    private void removeOldestClosedViews() {
        List<Grant> closed = views.entrySet().stream()
                .filter(view -> view.getValue().step() == ReclaimStep.CLOSED)
                .map(Map.Entry::getKey)
                .toList();
        closed.stream().limit(Math.max(0, closed.size() - CLOSED_VIEWS_MAX)).forEach(views::remove);
    }

    private static Grant grant(OpenEntry entry) {
        return new Grant(entry.budget(), entry.holder());
    }
}
