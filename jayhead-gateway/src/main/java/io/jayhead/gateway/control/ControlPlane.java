package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.Holder;
import io.jayhead.admission.prepaid.LedgerPage;
import io.jayhead.admission.prepaid.LedgerPages;
import io.jayhead.admission.prepaid.LedgerReport;
import io.jayhead.admission.quarantine.PartCrashes;
import io.jayhead.gateway.log.GuardedTask;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.gateway.quarantine.CrashListener;
import io.jayhead.gateway.quarantine.PromptTrial;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.ReplicateEntries;
import io.jayhead.routing.catalog.Catalog;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.registry.RegistryTracker;
import io.jayhead.routing.registry.UpstreamRegistry;
import io.jayhead.routing.registry.ZoneEvacuations;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Follows the platform, publishes routing snapshots and updates the ledger of prepaid tokens. Its state is confined to
 * the control thread; other threads read the immutable snapshots.
 */
public final class ControlPlane implements CrashListener {

    /** Collects the changes of several ends at once; requests under the same part go on until then. */
    private static final int CRASHES_PAUSE_MS = 50;

    private static final long EXPIRY_CHECK_MS = 250;
    private static final long PROBE_CHECK_MS = 250;

    private final EventLoop loop;
    private final StructuredLog log;
    private final GatewayMetrics metrics;
    private final PlatformHealth health;
    private final Holder holder;
    private final LedgerRecovery recovery;
    private final List<LedgerUpdater> ledgers = new ArrayList<>();
    private final WatchLoop<Catalog, Catalog> catalogLoop;
    private final WatchLoop<UpstreamListing, UpstreamChanges> registryLoop;
    private final WatchLoop<RouterListing, RouterListing> routersLoop;
    private final List<WatchLoop<?, ?>> loops = new ArrayList<>();
    private final RegistryUpdater registry;
    private final QuarantineUpdater quarantine;
    private final RouterAnnouncer announcer;
    private final EntryReplicator replicator;
    private final ReplicatedEntries replicas = new ReplicatedEntries();
    private final PlatformClient platform;
    private final RouterAddress self;
    private final ControlTimes times;
    private final Runnable onChange;
    private volatile RoutingSnapshot snapshot = RoutingSnapshot.empty();

    /**
     * Creates a control plane that has read nothing.
     *
     * @param loop the control thread
     * @param platform the client of the platform
     * @param peers sends messages to other routers
     * @param holder identifies this incarnation of the router in ledger pages
     * @param self the VM name of this router and the address on which it accepts other routers
     * @param times the times of the deployment
     * @param log receives changes of the control state
     * @param metrics counts calls to the platform
     * @param budgets receives the state of budgets
     * @param onChange is called on the control thread after the configuration or the registry of the snapshot has
     *     changed
     */
    public ControlPlane(
            EventLoop loop,
            PlatformClient platform,
            PeerClient peers,
            Holder holder,
            RouterAddress self,
            ControlTimes times,
            StructuredLog log,
            GatewayMetrics metrics,
            BudgetListener budgets,
            Runnable onChange) {
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.platform = platform;
        this.holder = holder;
        this.self = self;
        this.times = times;
        this.onChange = onChange;
        this.health = new PlatformHealth(log, metrics, this::platformRecovered);
        WatchTimes watchTimes = new WatchTimes(times.reconnectMs());
        this.catalogLoop = new WatchLoop<>(
                "configuration",
                loop,
                health,
                true,
                () -> 0,
                platform::readCatalog,
                revision -> platform.watchCatalog(revision, watchTimes.waitMs(0)),
                this::catalogRead,
                this::catalogRead);
        this.registry = new RegistryUpdater(times.heartbeatMs(), log, this::publish);
        this.registryLoop = new WatchLoop<>(
                "registry",
                loop,
                health,
                false,
                this::registryPauseMs,
                platform::listUpstreams,
                revision -> platform.watchUpstreams(revision, watchTimes.waitMs(registryPauseMs())),
                registry::listed,
                registry::changed);
        this.routersLoop = new WatchLoop<>(
                "routers",
                loop,
                health,
                false,
                this::routersPauseMs,
                platform::listRouters,
                revision -> platform.watchRouters(revision, watchTimes.relaxedWaitMs(routersPauseMs())),
                this::routersRead,
                this::routersRead);
        this.quarantine = new QuarantineUpdater(
                platform, health, loop, log, newest -> snapshot = snapshot.withQuarantine(newest));
        loops.addAll(List.of(catalogLoop, registryLoop, routersLoop, crashesLoop(watchTimes)));
        if (times.followsEvacuations()) {
            loops.add(evacuationsLoop());
        } else {
            snapshot = snapshot.withEvacuations(ZoneEvacuations.none());
        }
        this.announcer = new RouterAnnouncer(platform, health, loop, self, this::ledgerReport);
        this.recovery = new LedgerRecovery(
                holder.vmName(),
                platform,
                health,
                loop,
                log,
                () -> snapshot.catalog().keys().prepaidTokens(),
                this::ledgerPagesMayBeCreated);
        this.replicator = new EntryReplicator(self, holder.name(), peers, loop, log);
        for (int page = 0; page < LedgerPages.COUNT; page++) {
            ledgers.add(new LedgerUpdater(
                    page, recovery, holder, platform, health, loop, log, this::prepaidTokens, budgets, replicator));
        }
    }

    private WatchLoop<CrashListing, CrashChanges> crashesLoop(WatchTimes watchTimes) {
        return new WatchLoop<>(
                "crashes",
                loop,
                health,
                false,
                () -> CRASHES_PAUSE_MS,
                platform::listCrashes,
                revision -> platform.watchCrashes(revision, watchTimes.relaxedWaitMs(CRASHES_PAUSE_MS)),
                quarantine::listed,
                quarantine::changed);
    }

    private WatchLoop<EvacuationListing, EvacuationChanges> evacuationsLoop() {
        EvacuationUpdater evacuations =
                new EvacuationUpdater(log, metrics, newest -> snapshot = snapshot.withEvacuations(newest));
        WatchTimes watchTimes = times.evacuationWatchTimes();
        return new WatchLoop<>(
                "evacuations",
                loop,
                health,
                false,
                () -> 0,
                platform::listEvacuations,
                revision -> platform.watchEvacuations(revision, watchTimes.waitMs(0)),
                evacuations::listed,
                evacuations::changed);
    }

    /** Starts watching the platform and announces this router. */
    public void start() {
        platform.onEra(this::eraChanged);
        loops.forEach(watchLoop -> loop.execute(watchLoop::run));
        GuardedTask expiry = new GuardedTask("expire entries", log, this::expireEntries);
        LivenessProbe liveness = new LivenessProbe(() -> platform.probe(self), health);
        GuardedTask probe = new GuardedTask("probe platform", log, liveness::check);
        loop.scheduleWithFixedDelay(probe, PROBE_CHECK_MS, PROBE_CHECK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(expiry, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the newest snapshot; may be called by any thread.
     *
     * @return the snapshot
     */
    public RoutingSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Updates what this router needs of a budget; may be called by any thread.
     *
     * @param organisation the organisation
     * @param need the need, which replaces the previous one; returned tokens add up
     */
    public void updateNeed(String organisation, BudgetNeed need) {
        int page = LedgerPages.indexOf(organisation);
        loop.execute(() -> ledgers.get(page).updateNeed(organisation, need));
    }

    /**
     * Keeps ledger entries of another router; may be called by any thread.
     *
     * @param message the entries
     * @return the reply
     */
    public CompletableFuture<Frame> replicate(ReplicateEntries message) {
        return CompletableFuture.supplyAsync(
                () -> {
                    replicas.add(message.getHolder(), ReplicationMessages.entries(message), nowMs());
                    return ReplicationMessages.reply(holder.name());
                },
                loop);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private int routersPauseMs() {
        return RoutersPause.afterAnswerMs(snapshot.routers().size(), recovery.isAwaitingReports());
    }

    private int registryPauseMs() {
        return times.registryPauseMs(snapshot.routers().size());
    }

    private OptionalLong prepaidTokens(String organisation) {
        return snapshot.catalog()
                .keys()
                .organisation(organisation)
                .map(Organisation::prepaidTokens)
                .orElse(OptionalLong.empty());
    }

    private void catalogRead(Catalog catalog) {
        if (catalog.version() <= snapshot.catalog().version()) {
            return;
        }
        log.write(
                LogKind.STATE,
                "configuration in force",
                "version",
                catalog.version(),
                "replaced_version",
                snapshot.catalog().version());
        snapshot = snapshot.withCatalog(catalog);
        onChange.run();
    }

    private void routersRead(RouterListing listing) {
        Map<String, RouterAddress> byVm = new HashMap<>();
        snapshot.routers().forEach(router -> byVm.put(router.vmName(), router));
        listing.routers().forEach(announced -> byVm.put(announced.router().vmName(), announced.router()));
        snapshot = snapshot.withRouters(List.copyOf(byVm.values()));
        log.write(LogKind.STATE, "routers in force", "routers", byVm.size());
        replicator.routersChanged(snapshot.routers());
        recovery.routersRead(listing);
        announcer.routersRead(listing);
    }

    /**
     * Returns what this router knows of the budgets that it holds, and what others have replicated to it. Other entries
     * are left out, so that reports stay small in a large fleet.
     */
    private LedgerReport ledgerReport() {
        LedgerPage known = replicas.entries(nowMs());
        for (LedgerUpdater ledger : ledgers) {
            known = known.mergeGreatest(ledger.knownPage().heldBy(holder.name()));
        }
        return recovery.reportOf(holder, known);
    }

    private void ledgerPagesMayBeCreated() {
        ledgers.forEach(LedgerUpdater::pagesMayBeCreated);
    }

    private void platformRecovered(long unansweredMs) {
        registry.platformRecovered(unansweredMs);
        loop.schedule(registry::expire, RegistryTracker.REREGISTRATION_MS + 1, TimeUnit.MILLISECONDS);
        long recoveredAtNs = System.nanoTime();
        loops.forEach(watchLoop -> loop.execute(() -> watchLoop.platformRecovered(recoveredAtNs)));
    }

    private void eraChanged(long era) {
        boolean restored = recovery.era() != LedgerReport.NO_ERA;
        recovery.begin(era);
        announcer.begin(era);
        if (restored) {
            platformRestored(era);
        }
    }

    /** Reads all objects anew, since the platform has lost changes and gives out their revisions again. */
    private void platformRestored(long era) {
        ledgers.forEach(LedgerUpdater::restored);
        quarantine.restored();
        log.write(LogKind.DEPENDENCY, "platform restored", "era", era);
        metrics.platformRestored(era);
        loop.schedule(registryLoop::readAnew, registry.platformRestored(), TimeUnit.MILLISECONDS);
        loops.forEach(watchLoop -> loop.execute(watchLoop::readAnew));
    }

    @Override
    public void crashed(List<PartCrashes> crashes) {
        loop.execute(() -> quarantine.crashed(crashes));
    }

    @Override
    public void answered(String part) {
        loop.execute(() -> quarantine.answered(part));
    }

    @Override
    public void requestTrial(String part, Consumer<Optional<PromptTrial>> decided) {
        loop.execute(() -> quarantine.requestTrial(part, decided));
    }

    private void expireEntries() {
        boolean firstRouter =
                snapshot.routers().stream().noneMatch(router -> router.vmName().compareTo(self.vmName()) < 0);
        quarantine.expire(firstRouter);
        registry.expire();
    }

    private void publish(UpstreamRegistry newest) {
        Set<String> known = snapshot.warmUps().reported(nowMs());
        snapshot = snapshot.withRegistry(newest, nowMs());
        Set<String> reported = snapshot.warmUps().reported(nowMs());
        if (!known.containsAll(reported)) {
            log.write(LogKind.STATE, "upstreams warm up", "warming_up_upstreams", reported);
        }
        onChange.run();
    }
}
