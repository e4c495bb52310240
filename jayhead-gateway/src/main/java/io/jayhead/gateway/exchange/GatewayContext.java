package io.jayhead.gateway.exchange;

import io.jayhead.admission.overload.LinkPressure;
import io.jayhead.gateway.budget.BudgetAccounts;
import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.memory.ProcessMemory;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.jayhead.gateway.quarantine.PromptGuard;
import io.jayhead.gateway.upstream.UpstreamTable;
import io.jayhead.gateway.wire.WireDialect;
import io.netty.channel.EventLoop;
import java.util.function.Supplier;

/**
 * The objects that all exchanges of a router share.
 *
 * @param loop the traffic thread
 * @param dialect reads and writes headers
 * @param snapshot returns the newest routing snapshot
 * @param upstreams the upstreams with their connections and load
 * @param budgets the prepaid budgets
 * @param retries the retry budgets of the services
 * @param gates admit requests to the services
 * @param answerTimes the recent answer times of the routes
 * @param memory the account of the memory that connections hold
 * @param log the log
 * @param metrics the metrics
 * @param drain the state of a planned stop
 * @param promptGuard watches the attempts for parts of prompts under which upstreams end
 * @param filter excludes upstreams to which requests must not be sent
 * @param link returns the utilisation of the network link of the VM and whether it counts as high
 */
public record GatewayContext(
        EventLoop loop,
        WireDialect dialect,
        Supplier<RoutingSnapshot> snapshot,
        UpstreamTable upstreams,
        BudgetAccounts budgets,
        RetryBudgets retries,
        ServiceGates gates,
        AnswerTimes answerTimes,
        ProcessMemory memory,
        StructuredLog log,
        GatewayMetrics metrics,
        DrainState drain,
        PromptGuard promptGuard,
        UpstreamFilter filter,
        Supplier<LinkPressure> link) {}
