package io.jayhead.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Follows the objects of one kind: reads all of them, then watches for changes.
 *
 * <p>Reads all again after each failure, for example when the platform no longer has the history. A reading also sets
 * the revision from which to watch, since revisions go back when the platform is restored from an older copy. A watch
 * waits for much longer than a read, so a watch that is sent to a platform that does not answer would hide its
 * recovery.
 *
 * <p>A failed watch is no sign of an outage: the platform may end one at any time, and the connection that it waits on
 * may have failed alone. Only the reading that follows tells whether the platform answers.
 *
 * @param <L> the type of a full listing
 * @param <C> the type of the changes that a watch reports
 */
final class WatchLoop<L, C> {

    private final String name;
    private final EventLoop loop;
    private final PlatformHealth health;
    private final boolean probes;
    private final IntSupplier pauseMs;
    private final Supplier<CompletionStage<Versioned<L>>> read;
    private final LongFunction<CompletionStage<Versioned<C>>> watch;
    private final Consumer<L> onRead;
    private final Consumer<C> onChange;
    private final Backoff backoff = new Backoff();
    private boolean mustRead = true;
    private boolean watchSucceeded;
    private long revision;
    /** Increases with each restart; answers to calls and delayed calls of an earlier run are ignored. */
    private long runNumber;

    private boolean callInFlight;
    private long callSentAtNs;

    /**
     * Creates a loop that has read nothing.
     *
     * @param name the kind of objects, for log lines and metrics
     * @param loop the control thread
     * @param health tracks whether the platform answers
     * @param probes whether this loop probes the platform in an outage; exactly one loop of a router does
     * @param pauseMs returns the milliseconds between an answer and the next watch, in which changes are collected
     * @param read reads all objects
     * @param watch waits for changes after a revision
     * @param onRead receives a full listing
     * @param onChange receives changes
     */
    WatchLoop(
            String name,
            EventLoop loop,
            PlatformHealth health,
            boolean probes,
            IntSupplier pauseMs,
            Supplier<CompletionStage<Versioned<L>>> read,
            LongFunction<CompletionStage<Versioned<C>>> watch,
            Consumer<L> onRead,
            Consumer<C> onChange) {
        this.name = name;
        this.loop = loop;
        this.health = health;
        this.probes = probes;
        this.pauseMs = pauseMs;
        this.read = read;
        this.watch = watch;
        this.onRead = onRead;
        this.onChange = onChange;
    }

    void run() {
        long currentRun = runNumber;
        callInFlight = true;
        callSentAtNs = System.nanoTime();
        if (mustRead) {
            read.get().whenComplete((listing, failure) -> {
                if (currentRun == runNumber) {
                    handleAnswer("read " + name, listing, failure, onRead);
                }
            });
            return;
        }
        watch.apply(revision).whenComplete((changes, failure) -> {
            if (currentRun == runNumber) {
                handleAnswer("watch " + name, changes, failure, onChange);
            }
        });
    }

    /**
     * Reads anew in place of a call that was sent in an outage, whose answer may have been lost.
     *
     * @param recoveredAtNs the time of {@link System#nanoTime()} when the platform answered again
     */
    void platformRecovered(long recoveredAtNs) {
        if (callInFlight && callSentAtNs - recoveredAtNs < 0) {
            readAnew();
        }
    }

    /** Reads all objects at once, and ignores what earlier calls bring, which may belong to a lost time. */
    void readAnew() {
        runNumber++;
        mustRead = true;
        run();
    }

    private <T> void handleAnswer(String call, Versioned<T> answer, Throwable failure, Consumer<T> consumer) {
        callInFlight = false;
        boolean watched = !mustRead;
        if (failure != null && watched) {
            health.watchFailed(call, failure);
            mustRead = true;
            readAfterFailedWatch(PlatformException.faultOf(failure));
            return;
        }
        if (failure != null) {
            health.failed(call, failure);
            retry(PlatformException.faultOf(failure));
            return;
        }
        if (watched) {
            watchSucceeded = true;
            backoff.reset();
        }
        health.succeeded(call);
        if (probes) {
            health.probeSucceeded();
        }
        mustRead = false;
        revision = watched ? Math.max(revision, answer.revision()) : answer.revision();
        if (answer.value() != null && !consume(call, answer.value(), consumer)) {
            mustRead = true;
            runAfter(backoff.next());
            return;
        }
        runAfter(pauseMs.getAsInt());
    }

    private void runAfter(long delayMs) {
        loop.schedule(ofCurrentRun(this::run), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Returns a task that does nothing once the loop has been restarted. */
    private Runnable ofCurrentRun(Runnable task) {
        long currentRun = runNumber;
        return () -> {
            if (currentRun == runNumber) {
                task.run();
            }
        };
    }

    /** Passes a value on; returns false if that failed, so that all must be read again. */
    private <T> boolean consume(String call, T value, Consumer<T> consumer) {
        try {
            consumer.accept(value);
            return true;
        } catch (RuntimeException failure) {
            health.failed(call, failure);
            return false;
        }
    }

    /**
     * Reads all again at once, but backs off if watches fail one after the other as soon as they begin. The loop that
     * probes in an outage reads first, so that the others wait for it if the platform does not answer.
     */
    private void readAfterFailedWatch(PlatformFault fault) {
        long watchedMs = (System.nanoTime() - callSentAtNs) / 1_000_000;
        boolean atOnce = watchSucceeded || watchedMs >= Backoff.MAX_MS;
        watchSucceeded = false;
        long firstDelayMs = probes || !fault.mayBeOutage() ? 0 : Backoff.FIRST_MS;
        long delayMs = atOnce ? firstDelayMs : backoff.next();
        loop.schedule(ofCurrentRun(this::runUnlessInOutage), delayMs, TimeUnit.MILLISECONDS);
    }

    private void runUnlessInOutage() {
        if (probes || !health.awaitRecovery(ofCurrentRun(this::run))) {
            run();
        }
    }

    private void retry(PlatformFault fault) {
        if (probes && fault.isOutage()) {
            health.probeFailed();
        } else if (probes) {
            health.probeSucceeded();
        }
        if (!probes && fault.isOutage() && health.awaitRecovery(ofCurrentRun(this::run))) {
            return;
        }
        runAfter(backoff.next());
    }
}
