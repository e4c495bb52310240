package io.jayhead.daemon.request;

import io.jayhead.daemon.budget.AdmissionService;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.daemon.fleet.Configuration;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.observe.DecisionLog;
import io.jayhead.daemon.observe.RouterMetrics;
import io.jayhead.daemon.upstream.EngineClient;
import io.jayhead.daemon.upstream.PlainServiceClient;
import io.jayhead.daemon.upstream.RoutingService;
import io.jayhead.platform.ObjectStore;
import java.util.concurrent.Executor;

/**
 * The components that requests use on their way through the router.
 *
 * @param self this router
 * @param control the control thread
 * @param traffic executes the work of requests off the control thread
 * @param clock the clock
 * @param configuration the configuration in force
 * @param admission admits requests
 * @param routing chooses upstreams
 * @param charges commits charges
 * @param registry finds earlier runs of the same request
 * @param retries the retry budget of this router
 * @param engines runs generations on model engines
 * @param plainServices calls plain services
 * @param store the object store of the platform
 * @param platform records failures of the platform and tells whether it is down
 * @param decisions the decision log
 * @param metrics the metrics
 * @param ticker passes the current time to the runs
 * @param firstByteTimeoutMs the longest wait for the first byte of an answer
 * @param betweenTokensTimeoutMs the longest wait between two tokens
 */
public record RequestComponents(
        Member self,
        ControlThread control,
        Executor traffic,
        HybridClock clock,
        Configuration configuration,
        AdmissionService admission,
        RoutingService routing,
        ChargeService charges,
        RequestRegistry registry,
        SharedRetryBudget retries,
        EngineClient engines,
        PlainServiceClient plainServices,
        ObjectStore store,
        PlatformMonitor platform,
        DecisionLog decisions,
        RouterMetrics metrics,
        RunTicker ticker,
        long firstByteTimeoutMs,
        long betweenTokensTimeoutMs) {}
