package io.jayhead.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Follows one kind of object: reads it in full, then watches for changes, and reads again when the history is gone.
 *
 * @param <L> the type of a full reading
 * @param <C> the type of changes
 */
final class WatchLoop<L, C> {

    private final String name;
    private final EventLoop loop;
    private final PlatformHealth health;
    private final Supplier<CompletionStage<Versioned<L>>> read;
    private final LongFunction<CompletionStage<Versioned<C>>> watch;
    private final Consumer<L> onRead;
    private final Consumer<C> onChange;
    private final Backoff backoff = new Backoff();
    private boolean mustRead = true;
    private boolean watched;
    private long revision;

    WatchLoop(
            String name,
            EventLoop loop,
            PlatformHealth health,
            Supplier<CompletionStage<Versioned<L>>> read,
            LongFunction<CompletionStage<Versioned<C>>> watch,
            Consumer<L> onRead,
            Consumer<C> onChange) {
        this.name = name;
        this.loop = loop;
        this.health = health;
        this.read = read;
        this.watch = watch;
        this.onRead = onRead;
        this.onChange = onChange;
    }

    void run() {
        if (mustRead) {
            read.get().whenComplete((listed, failure) -> finish("read " + name, listed, failure, onRead));
        } else {
            watch.apply(revision)
                    .whenComplete((changes, failure) -> finish("watch " + name, changes, failure, onChange));
        }
    }

    private <T> void finish(String call, Versioned<T> answer, Throwable failure, Consumer<T> consumer) {
        if (failure != null) {
            health.failed(call, failure);
            mustRead |= !PlatformException.faultOf(failure).isOutage();
            // A lost history is read again at once, but not again and again when every watch is refused.
            boolean atOnce = watched && PlatformException.faultOf(failure) == PlatformFault.HISTORY_GONE;
            watched = false;
            loop.schedule(this::run, atOnce ? 0 : backoff.next(), TimeUnit.MILLISECONDS);
            return;
        }
        if (!mustRead) {
            watched = true;
            backoff.reset();
        }
        health.succeeded(call);
        mustRead = false;
        revision = Math.max(revision, answer.revision());
        if (answer.value() != null) {
            consumer.accept(answer.value());
        }
        loop.execute(this::run);
    }
}
