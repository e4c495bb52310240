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
import io.jayhead.daemon.upstream.RoutingService;
import io.jayhead.daemon.upstream.ServiceClient;
import io.jayhead.platform.ObjectStore;
import java.util.concurrent.Executor;

/**
 * What a request needs on its way through the router.
 *
 * @param self this router
 * @param control the control thread
 * @param traffic runs the work of requests
 * @param clock the clock
 * @param configuration the configuration in force
 * @param admission admits requests
 * @param routing chooses upstreams
 * @param charges commits charges
 * @param registry finds other runs of the same request
 * @param retries the retry budget
 * @param engines runs generations
 * @param plainServices calls plain services
 * @param store the platform
 * @param platform whether the platform is down
 * @param decisions the decision log
 * @param metrics the metrics
 * @param ticker lets time pass in the runs
 * @param firstByteTimeoutMs the longest wait for the first byte of an upstream
 * @param betweenTokensTimeoutMs the longest wait between two tokens
 */
public record Services(
        Member self,
        ControlThread control,
        Executor traffic,
        HybridClock clock,
        Configuration configuration,
        AdmissionService admission,
        RoutingService routing,
        ChargeService charges,
        RequestRegistry registry,
        RetryCounter retries,
        EngineClient engines,
        ServiceClient plainServices,
        ObjectStore store,
        PlatformMonitor platform,
        DecisionLog decisions,
        RouterMetrics metrics,
        RunTicker ticker,
        long firstByteTimeoutMs,
        long betweenTokensTimeoutMs) {}
