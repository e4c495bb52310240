package io.jayhead.gateway.exchange;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The time limit of one exchange; used by the traffic thread. */
final class ExchangeDeadline {

    /** An answer within this time before the deadline would reach the caller too late. */
    private static final long ANSWER_MARGIN_MS = 20;

    private final long endNs;
    private final ScheduledFuture<?> timer;

    /**
     * Starts the timer.
     *
     * @param loop the traffic thread
     * @param startNs the arrival of the request
     * @param limitMs the time from the arrival to the deadline
     * @param onPassed runs shortly before the deadline, unless it is cancelled
     */
    ExchangeDeadline(EventLoop loop, long startNs, long limitMs, Runnable onPassed) {
        this.endNs = startNs + limitMs * 1_000_000;
        this.timer = loop.schedule(onPassed, Math.max(1, limitMs - ANSWER_MARGIN_MS), TimeUnit.MILLISECONDS);
    }

    /** Returns the milliseconds until the deadline. */
    long leftMs() {
        return (endNs - System.nanoTime()) / 1_000_000;
    }

    void cancel() {
        timer.cancel(false);
    }
}
