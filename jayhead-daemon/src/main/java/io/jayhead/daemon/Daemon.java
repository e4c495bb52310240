package io.jayhead.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.jayhead.admission.AdmissionEvent;
import io.jayhead.admission.AdmissionSettings;
import io.jayhead.admission.AdmissionState;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.config.settings.DaemonSettings;
import io.jayhead.daemon.budget.AdmissionService;
import io.jayhead.daemon.budget.BudgetLedgerEditor;
import io.jayhead.daemon.budget.ReclaimLedgerEditor;
import io.jayhead.daemon.charge.ChargeLayout;
import io.jayhead.daemon.charge.ChargeLogReader;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Configuration;
import io.jayhead.daemon.fleet.FleetChanges;
import io.jayhead.daemon.fleet.FleetPoller;
import io.jayhead.daemon.fleet.Heartbeats;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.daemon.observe.RouterMetrics;
import io.jayhead.daemon.operator.OperatorServer;
import io.jayhead.daemon.operator.StatusDocument;
import io.jayhead.daemon.recovery.FenceClient;
import io.jayhead.daemon.recovery.ReclaimComponents;
import io.jayhead.daemon.recovery.RecoveryService;
import io.jayhead.daemon.request.RequestComponents;
import io.jayhead.daemon.request.RequestPipeline;
import io.jayhead.daemon.request.RequestRegistry;
import io.jayhead.daemon.request.RunTicker;
import io.jayhead.daemon.request.SharedRetryBudget;
import io.jayhead.daemon.upstream.EngineClient;
import io.jayhead.daemon.upstream.PlainServiceClient;
import io.jayhead.daemon.upstream.RoutingService;
import io.jayhead.daemon.upstream.UpstreamHttpClients;
import io.jayhead.daemon.upstream.UpstreamPoller;
import io.jayhead.edge.CallerServer;
import io.jayhead.model.IncarnationId;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerServer;
import io.jayhead.platform.Backoff;
import io.jayhead.platform.CallCounters;
import io.jayhead.platform.CallKind;
import io.jayhead.platform.HttpObjectStore;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.PlatformTimeouts;
import io.jayhead.platform.RetryPolicy;
import io.jayhead.routing.ConcurrencyLimit;
import io.jayhead.routing.LeavingSource;
import io.jayhead.routing.RoutingParameters;
import io.jayhead.settlement.charge.ChargeLogSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Creates the components of one router, connects them, and starts and stops them. */
public final class Daemon {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_IN_FLIGHT = 512;
    private static final int EDIT_ATTEMPTS = 6;
    private static final Backoff EDIT_BACKOFF = new Backoff(10, 200);
    private static final long CONTROL_TICK_PERIOD_MS = 50;
    private static final long CHARGE_TICK_PERIOD_MS = 10;
    private static final long MEMBERSHIP_REFRESH_PERIOD_MS = 1_000;
    private static final long VM_LIST_PERIOD_MS = 1_000;
    private static final long CONSUMPTION_REPORT_PERIOD_MS = 2_000;
    private static final long DRAIN_CHECK_MS = 50;
    private static final long DRAIN_LOG_PERIOD_MS = 1_000;
    private static final long GRANT_RETURN_TIMEOUT_MS = 5_000;

    private final DaemonSettings settings;
    private final HybridClock clock = HybridClock.system();
    private final ControlThread control = ControlThread.start();
    private final ExecutorService trafficExecutor = Executors.newCachedThreadPool(Daemon::trafficThread);
    private final EventLoopGroup peerEventLoop = new NioEventLoopGroup(1);
    private final RouterMetrics metrics = new RouterMetrics();
    private final DecisionLog decisions = new DecisionLog();
    private final UpstreamHttpClients http = new UpstreamHttpClients();
    private final PlatformMonitor monitor = new PlatformMonitor(clock);
    private final CallCounters platformCalls = new CallCounters();
    private final HttpObjectStore store;
    private final Configuration configuration;
    private final Membership membership;
    private final Heartbeats heartbeats;
    private final FleetPoller fleetPoller;
    private final FleetChanges fleetChanges;
    private final BudgetLedgerEditor ledgers;
    private final AdmissionService admission;
    private final ChargeLayout layout;
    private final ChargeService charges;
    private final RecoveryService recovery;
    private final RequestRegistry registry;
    private final RoutingService routing;
    private final UpstreamPoller upstreamPoller;
    private final RunTicker ticker = new RunTicker(clock);
    private final PeerClient peers;
    private PeerServer peerServer;
    private CallerServer callerServer;
    private OperatorServer operatorServer;
    private volatile boolean draining;

    /**
     * Creates a router without starting it; {@link #start} opens its listeners and starts its periodic tasks.
     *
     * @param settings the settings of the router
     */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        IncarnationId incarnation = IncarnationId.of(UUID.randomUUID().toString());
        Member self =
                new Member(settings.vm(), incarnation, settings.availabilityZone(), settings.advertisedPeersAddress());
        store = new HttpObjectStore(settings.platformAddress(), PlatformTimeouts.standard(), platformCalls);
        ObjectEditor editor = new ObjectEditor(
                store,
                RetryPolicy.of(
                        EDIT_ATTEMPTS,
                        EDIT_BACKOFF,
                        () -> ThreadLocalRandom.current().nextDouble()));
        layout = new ChargeLayout(settings.chargePartitions(), store, control, monitor);
        configuration =
                new Configuration(settings.vm(), clock, settings.freshnessLimitMs(), () -> layout.partitions() > 0);
        peers = PeerClient.of(peerEventLoop, metrics);
        PeerLinks links = new PeerLinks(peers, control);
        membership = new Membership(self, control, clock, store, editor, monitor, configuration);
        routing = new RoutingService(RoutingParameters.defaults(), clock, http, decisions);
        heartbeats = new Heartbeats(
                membership,
                configuration,
                links,
                clock,
                settings.seedPeers(),
                new Heartbeats.Hooks(
                        () -> routing.state().leavingForPeers(),
                        leaving -> routing.setLeaving(LeavingSource.PEER, leaving),
                        () -> draining,
                        layout::partitions,
                        layout::adoptFromPeer));
        fleetPoller = new FleetPoller(configuration, control, clock, store, monitor);
        fleetChanges = new FleetChanges(
                configuration, membership, heartbeats, control, clock, editor, settings.freshnessLimitMs());
        ledgers = new BudgetLedgerEditor(store, editor, incarnation);
        GrantSizer sizer = GrantSizer.of(settings.grantInitialTokens());
        AdmissionSettings admissionSettings =
                new AdmissionSettings(incarnation, MAX_IN_FLIGHT, settings.queueLimit(), settings.queueLimit(), sizer);
        admission = new AdmissionService(
                AdmissionState.of(admissionSettings),
                control,
                clock,
                configuration,
                membership,
                links,
                monitor,
                ledgers,
                decisions);
        charges = new ChargeService(
                chargeSettings(settings), layout, control, clock, membership, links, store, editor, monitor, decisions);
        recovery = new RecoveryService(
                new ReclaimComponents(
                        control,
                        membership,
                        links,
                        new ReclaimLedgerEditor(store, editor),
                        new FenceClient(http),
                        charges,
                        new ChargeLogReader(store, layout),
                        decisions),
                configuration,
                clock,
                settings.reclaimAfterMs());
        registry = new RequestRegistry(self, charges, links, clock);
        upstreamPoller = new UpstreamPoller(routing, control, clock, settings.upstreamFreshnessMs());
    }

    /** Starts the peer server, the periodic tasks, the operator server and the caller server, in this order. */
    public void start() {
        registerGauges();
        configuration.onAdopted(routing::onConfigurationAdopted);
        configuration.onAdopted(recovery::onConfigurationAdopted);
        peerServer = PeerServer.start(
                peerEventLoop,
                settings.peersAddress(),
                new PeerRequestDispatcher(control, heartbeats, charges, registry, admission),
                metrics);
        control.every(CONTROL_TICK_PERIOD_MS, this::tick);
        control.every(CHARGE_TICK_PERIOD_MS, charges::tick);
        control.every(settings.peerHeartbeatMs(), heartbeats::sendAll);
        control.every(settings.upstreamPollMs(), upstreamPoller::poll);
        control.every(MEMBERSHIP_REFRESH_PERIOD_MS, membership::refresh);
        control.every(VM_LIST_PERIOD_MS, new VmListPoller(store, routing, control, monitor, recovery::updateVms)::poll);
        control.every(CONSUMPTION_REPORT_PERIOD_MS, admission::reportConsumption);
        control.every(settings.upstreamPollMs(), this::adaptConcurrency);
        control.execute(membership::refresh);
        operatorServer = OperatorServer.start(
                settings.operatorsAddress(),
                new OperatorServer.Components(
                        settings.operatorCredentialSha256(),
                        configuration::view,
                        fleetChanges,
                        ledgers,
                        new ChargeLogReader(store, layout),
                        this::status,
                        decisions,
                        metrics,
                        this::isReady));
        callerServer = CallerServer.start(settings.callersAddress(), new RequestPipeline(requestComponents()));
        LOGGER.atInfo().log(
                "router started vm=%s incarnation=%s",
                settings.vm(), membership.self().incarnation());
    }

    /**
     * Tells whether this process must be restarted, because one of its grants was reclaimed, for example while it was
     * suspended.
     */
    public boolean needsRestart() {
        return admission.hasReclaimedGrant();
    }

    /** Shuts down gracefully: waits a limited time for requests and charges, returns the grants and unregisters. */
    public void drain() {
        draining = true;
        LOGGER.atInfo().log("shutdown started");
        control.execute(() -> {
            admission.handle(new AdmissionEvent.DrainStarted(clock.nowMs()));
            membership.startLeaving();
            heartbeats.sendAll();
        });
        awaitIdle();
        awaitGrantReturn(control.submit(admission::closeAll).thenCompose(returned -> returned));
        control.execute(membership::leave);
        sleep(DRAIN_CHECK_MS * 2);
        LOGGER.atInfo().log("shutdown finished");
    }

    /** Closes all servers, connections and threads without waiting for requests in flight. */
    public void close() {
        callerServer.close();
        operatorServer.close();
        peerServer.close();
        peers.close();
        ticker.close();
        control.close();
        http.close();
        store.close();
        trafficExecutor.shutdownNow();
        peerEventLoop.shutdownGracefully(0, DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        configuration.refresh();
        fleetPoller.pollIfDue();
        layout.refresh();
        admission.tick();
    }

    private void adaptConcurrency() {
        int limit = ConcurrencyLimit.of(routing.state(), membership.live().size(), MAX_IN_FLIGHT, clock.nowMs());
        if (limit != admission.state().settings().maxInFlight()) {
            LOGGER.atInfo().log("concurrency limit=%d", limit);
            admission.handle(new AdmissionEvent.MaxInFlightChanged(limit, clock.nowMs()));
        }
    }

    private boolean isReady() {
        return !draining && configuration.isFresh() && routing.hasReports();
    }

    private CompletableFuture<ObjectNode> status() {
        return control.submit(() -> StatusDocument.of(
                configuration, membership, monitor, routing, admission.state(), charges, recovery, clock));
    }

    private RequestComponents requestComponents() {
        return new RequestComponents(
                membership.self(),
                control,
                trafficExecutor,
                clock,
                configuration,
                admission,
                routing,
                charges,
                registry,
                new SharedRetryBudget(),
                new EngineClient(http, clock),
                new PlainServiceClient(http),
                store,
                monitor,
                decisions,
                metrics,
                ticker,
                settings.firstByteTimeoutMs(),
                settings.betweenTokensTimeoutMs());
    }

    private void registerGauges() {
        metrics.registerGauge(
                "jayhead_control_cpu_seconds", "Processor time of the control thread", control::cpuSeconds);
        metrics.registerGauge(
                "jayhead_in_flight",
                "Requests in flight",
                () -> admission.state().inFlight());
        metrics.registerGauge(
                "jayhead_queued",
                "Requests that wait for admission",
                () -> admission.state().queue().size());
        metrics.registerGauge("jayhead_pending_charges", "Charges that are not committed", charges::pendingCharges);
        metrics.registerGauge(
                "jayhead_overspent_tokens",
                "Tokens consumed beyond the grants; always 0",
                () -> admission
                        .state()
                        .book()
                        .accounts()
                        .mapToLong(account -> Math.max(0, -account.availableTokens()))
                        .sum());
        metrics.registerGauge(
                "jayhead_configuration_fresh", "1 if new work may start", () -> configuration.isFresh() ? 1 : 0);
        metrics.registerGauge(
                "jayhead_fleet_version",
                "Configuration version in force",
                () -> configuration.view().version());
        metrics.registerGauge(
                "jayhead_stranded_tokens",
                "Tokens of lost routers' grants that are written off or being reclaimed here",
                recovery::strandedTokens);
        for (CallKind kind : CallKind.values()) {
            metrics.registerGauge(
                    "jayhead_platform_calls_" + kind.label(),
                    "Calls of the platform of kind " + kind.label(),
                    () -> platformCalls.calls(kind));
        }
    }

    private void awaitIdle() {
        long deadlineMs = clock.nowMs() + settings.shutdownLimitMs();
        long nextLogMs = clock.nowMs() + DRAIN_LOG_PERIOD_MS;
        while (clock.nowMs() < deadlineMs) {
            int inFlight = admission.state().inFlight() + ticker.size();
            int pendingCharges = monitor.isDown() ? 0 : charges.pendingCharges();
            if (inFlight == 0 && pendingCharges == 0) {
                return;
            }
            if (clock.nowMs() >= nextLogMs) {
                LOGGER.atInfo().log("shutdown waits in_flight=%d pending_charges=%d", inFlight, pendingCharges);
                nextLogMs = clock.nowMs() + DRAIN_LOG_PERIOD_MS;
            }
            sleep(DRAIN_CHECK_MS);
        }
        LOGGER.atWarning().log("shutdown limit passed with requests in flight");
    }

    private static void awaitGrantReturn(CompletableFuture<Void> future) {
        try {
            future.get(GRANT_RETURN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
            LOGGER.atWarning().withCause(e).log("grants were not returned");
        }
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ChargeLogSettings chargeSettings(DaemonSettings settings) {
        ChargeLogSettings defaults = ChargeLogSettings.standard();
        return new ChargeLogSettings(
                defaults.maxBatchEntries(),
                settings.chargeLingerMs(),
                defaults.retryMs(),
                defaults.retentionMinutes(),
                defaults.slotsPerCheckpoint());
    }

    private static Thread trafficThread(Runnable task) {
        Thread thread = new Thread(task, "traffic");
        thread.setDaemon(true);
        return thread;
    }
}
