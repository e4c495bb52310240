package io.jayhead.gateway.exchange;

import java.util.concurrent.TimeUnit;

/**
 * Lets an at-most-once request run on after its caller has closed the connection, at the latest until its deadline;
 * used by the traffic thread. Until then the request counts as open, so that a planned stop waits for it.
 */
final class RunWithoutCaller {

    private final GatewayContext context;
    private final UpstreamAttempt attempt;
    private boolean ended;

    private RunWithoutCaller(GatewayContext context, UpstreamAttempt attempt) {
        this.context = context;
        this.attempt = attempt;
    }

    /** Returns an instance without a request, which has ended. */
    static RunWithoutCaller none() {
        RunWithoutCaller run = new RunWithoutCaller(null, null);
        run.ended = true;
        return run;
    }

    static RunWithoutCaller of(GatewayContext context, UpstreamAttempt attempt, long leftMs) {
        RunWithoutCaller run = new RunWithoutCaller(context, attempt);
        context.drain().opened();
        context.loop().schedule(run::end, Math.max(1, leftMs), TimeUnit.MILLISECONDS);
        return run;
    }

    /** Ends the request because it was answered, failed or reached its deadline; later calls do nothing. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        context.drain().closed();
        attempt.abort();
    }
}
