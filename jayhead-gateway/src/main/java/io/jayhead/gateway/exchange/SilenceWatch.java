package io.jayhead.gateway.exchange;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Reports that an attempt has made no progress for longer than a limit; used by the traffic thread. */
final class SilenceWatch {

    private final EventLoop loop;
    private final LongSupplier limitMs;
    private final Runnable onSilence;
    private long progressAtNs;
    private ScheduledFuture<?> timer;

    /**
     * Creates a watch that is not running.
     *
     * @param loop the traffic thread
     * @param limitMs returns the limit, which may change with the progress of the attempt
     * @param onSilence is called once when the limit has passed; the watch must be started again after that
     */
    SilenceWatch(EventLoop loop, LongSupplier limitMs, Runnable onSilence) {
        this.loop = loop;
        this.limitMs = limitMs;
        this.onSilence = onSilence;
    }

    /** Starts the watch, or starts it again. */
    void start() {
        stop();
        progressed();
        schedule(limitMs.getAsLong());
    }

    void progressed() {
        progressAtNs = System.nanoTime();
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void check() {
        long silentMs = (System.nanoTime() - progressAtNs) / 1_000_000;
        long remainingMs = limitMs.getAsLong() - silentMs;
        if (remainingMs > 0) {
            schedule(remainingMs);
        } else {
            onSilence.run();
        }
    }

    private void schedule(long delayMs) {
        timer = loop.schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
    }
}
