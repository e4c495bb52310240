package io.jayhead.gateway;

import io.jayhead.admission.prepaid.Holder;
import io.jayhead.gateway.budget.BudgetAccounts;
import io.jayhead.gateway.control.ControlPlane;
import io.jayhead.gateway.control.PlatformClient;
import io.jayhead.gateway.control.RouterAddress;
import io.jayhead.gateway.edge.CallerServer;
import io.jayhead.gateway.edge.LinkMeter;
import io.jayhead.gateway.edge.StatusServer;
import io.jayhead.gateway.exchange.AnswerBuffers;
import io.jayhead.gateway.exchange.AnswerTimes;
import io.jayhead.gateway.exchange.DrainState;
import io.jayhead.gateway.exchange.GatewayContext;
import io.jayhead.gateway.exchange.RetryBudgets;
import io.jayhead.gateway.exchange.ServiceGates;
import io.jayhead.gateway.log.GuardedTask;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.gateway.quarantine.PromptGuard;
import io.jayhead.gateway.upstream.ConnectionRecorder;
import io.jayhead.gateway.upstream.UpstreamTable;
import io.jayhead.gateway.wire.WireDialect;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerServer;
import io.jayhead.peer.PeerTrafficListener;
import io.jayhead.peer.pb.Frame;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

/**
 * Assembles and runs a router: one control thread, one traffic thread, and the servers for callers, other routers,
 * readiness checks and metrics.
 */
public final class Gateway implements AutoCloseable {

    private static final long LINK_CHECK_MS = 250;
    private static final long SWEEP_MS = 500;
    private static final long DRAIN_CHECK_MS = 50;
    /** The platform's load balancer stops sending connections only after two failed readiness checks. */
    private static final long KEEP_SERVING_MS = 2_600;
    /** The time reserved at the end of a stop for returning tokens and closing connections. */
    private static final long STOP_MARGIN_MS = 400;

    private final GatewaySettings settings;
    private final StructuredLog log;
    private final NioEventLoopGroup controlGroup = new NioEventLoopGroup(1);
    private final NioEventLoopGroup trafficGroup = new NioEventLoopGroup(1);
    private final EventLoop traffic = trafficGroup.next();
    private final DrainState drain = new DrainState();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ControlPlane control;
    private final BudgetAccounts budgets;
    private final UpstreamTable upstreams;
    private final LinkMeter meter;
    private final CallerServer callers;
    private final WireDialect dialect;
    private volatile boolean stopping;

    /**
     * Creates a router.
     *
     * @param settings the settings
     * @param dialect reads and writes the headers of the deployment
     * @param platform creates the platform's client for the given control thread and log
     * @param incarnation an identifier that no earlier process of this VM used; contains no slash
     * @param log receives the log lines of the router
     */
    public Gateway(
            GatewaySettings settings,
            WireDialect dialect,
            BiFunction<EventLoop, StructuredLog, PlatformClient> platform,
            String incarnation,
            StructuredLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.log = log;
        EventLoop controlLoop = controlGroup.next();
        ControlPlane[] controlReference = new ControlPlane[1];
        PeerClient peers = PeerClient.of(trafficGroup, PeerTrafficListener.NONE);
        this.budgets = new BudgetAccounts(
                traffic,
                (organisation, need) -> controlReference[0].updateNeed(organisation, need),
                peers,
                settings.vmName(),
                () -> controlReference[0].snapshot().routers(),
                log,
                metrics);
        this.control = new ControlPlane(
                controlLoop,
                platform.apply(controlLoop, log),
                peers,
                new Holder(settings.vmName(), System.currentTimeMillis(), incarnation),
                new RouterAddress(settings.vmName(), settings.peersAddress()),
                settings.controlTimes(),
                log,
                metrics,
                budgets,
                this::snapshotChanged);
        controlReference[0] = control;
        this.upstreams =
                new UpstreamTable(traffic, dialect, settings.availabilityZone(), new ConnectionRecorder(log, metrics));
        this.meter = new LinkMeter(settings.linkMbps(), log);
        GatewayContext context = new GatewayContext(
                traffic,
                dialect,
                control::snapshot,
                upstreams,
                budgets,
                new RetryBudgets(),
                new ServiceGates(traffic),
                new AnswerTimes(),
                new AnswerBuffers(),
                log,
                metrics,
                drain,
                new PromptGuard(traffic, control::snapshot, control, log),
                meter::pressure);
        this.callers = new CallerServer(context, meter);
    }

    /** Starts the periodic tasks, the servers and the control plane. */
    public void start() {
        budgets.start();
        repeat("measure link", this::measureLink, LINK_CHECK_MS);
        repeat("sweep connections", this::sweep, SWEEP_MS);
        PeerServer.start(trafficGroup, settings.peersAddress(), this::answerPeer, PeerTrafficListener.NONE);
        callers.listen(trafficGroup, trafficGroup, settings.callersAddress());
        new StatusServer(dialect.readinessPath(), this::isReady, () -> metrics.text(log.droppedLines()))
                .listen(trafficGroup, settings.statusAddress());
        control.start();
        log.write(
                LogKind.PROCESS,
                "started",
                "vm",
                settings.vmName(),
                "availability_zone",
                settings.availabilityZone(),
                "callers",
                settings.callersAddress(),
                "status",
                settings.statusAddress());
    }

    private CompletableFuture<Frame> answerPeer(Frame request) {
        return request.hasReplicateEntries()
                ? control.replicate(request.getReplicateEntries())
                : budgets.answerPeer(request);
    }

    private void repeat(String name, Runnable task, long periodMs) {
        GuardedTask guarded = new GuardedTask(name, log, task);
        traffic.scheduleWithFixedDelay(guarded, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a planned stop, which finishes open requests within the stop time; later calls do nothing.
     *
     * @param onStopped is called on the traffic thread when the process may exit
     */
    public void stop(Runnable onStopped) {
        if (stopping) {
            return;
        }
        stopping = true;
        log.write(LogKind.PROCESS, "stopping", "vm", settings.vmName());
        long stopNs = System.nanoTime() + (settings.stopMs() - STOP_MARGIN_MS) * 1_000_000;
        traffic.execute(() -> drain.drain(stopNs));
        traffic.schedule(() -> awaitOpenRequests(onStopped), KEEP_SERVING_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the stop once no request is open or the stop time has passed. Until then the router keeps accepting
     * connections: if most routers of an availability zone are being stopped, the load balancer sends callers to all of
     * them.
     */
    private void awaitOpenRequests(Runnable onStopped) {
        if (!drain.isRefusingLong()) {
            drain.refuseLong();
            budgets.returnAll();
        }
        if (drain.openRequests() > 0 && drain.leftMs() > 0) {
            traffic.schedule(() -> awaitOpenRequests(onStopped), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        drain.refuse();
        callers.stopListening();
        log.write(LogKind.PROCESS, "stopped", "vm", settings.vmName(), "open_requests", drain.openRequests());
        callers.stopConnections();
        budgets.returnAll();
        traffic.schedule(onStopped, STOP_MARGIN_MS / 2, TimeUnit.MILLISECONDS);
    }

    /** Shuts down both threads at once; open requests are cut off. */
    @Override
    public void close() {
        trafficGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        controlGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private boolean isReady() {
        return !stopping && control.snapshot().isComplete() && meter.pressure().takesConnections();
    }

    private void measureLink() {
        meter.measure(System.nanoTime() / 1_000_000);
    }

    private void snapshotChanged() {
        traffic.execute(this::sweep);
    }

    private void sweep() {
        upstreams.sweep(control.snapshot().registry());
        upstreams.recordLoad(control.snapshot().registry(), metrics);
    }
}
