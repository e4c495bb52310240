package io.jayhead.gateway.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.gateway.log.StructuredLog;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.netty.channel.DefaultEventLoop;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a watch that ends for good after an unexpected error, so that later changes go unnoticed, and against
 * one that is taken for an outage because its connection failed.
 */
class WatchLoopTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final StructuredLog log = new StructuredLog(new PrintStream(new ByteArrayOutputStream()));
    private final AtomicInteger outages = new AtomicInteger();
    private final PlatformHealth health =
            new PlatformHealth(log, new GatewayMetrics(), unansweredMs -> outages.incrementAndGet());
    private final AtomicInteger reads = new AtomicInteger();
    private final CountDownLatch readAgain = new CountDownLatch(3);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void allIsReadAgainAfterAValueThatCouldNotBeTakenOver() throws Exception {
        WatchLoop<Integer, Integer> watch = new WatchLoop<>(
                "numbers",
                loop,
                health,
                true,
                () -> 0,
                () -> CompletableFuture.completedFuture(new Versioned<>(reads.incrementAndGet(), 1)),
                revision -> new CompletableFuture<>(),
                value -> {
                    readAgain.countDown();
                    throw new IllegalStateException("unexpected value " + value);
                },
                value -> {});
        loop.execute(watch::run);
        assertTrue(readAgain.await(5, TimeUnit.SECONDS), "reads: " + reads.get());
    }

    @Test
    void aWatchStartsFromTheNewestReadingAlthoughRevisionsWentBack() throws Exception {
        CompletableFuture<Long> watchedAfterReturn = new CompletableFuture<>();
        WatchLoop<Integer, Integer> watch = new WatchLoop<>(
                "numbers",
                loop,
                health,
                true,
                () -> 0,
                () -> CompletableFuture.completedFuture(new Versioned<>(1, reads.incrementAndGet() == 1 ? 30 : 10)),
                revision -> {
                    if (reads.get() == 1) {
                        return CompletableFuture.failedFuture(
                                new PlatformException(PlatformFault.HISTORY_GONE, "history is gone"));
                    }
                    watchedAfterReturn.complete(revision);
                    return new CompletableFuture<>();
                },
                value -> {},
                value -> {});
        loop.execute(watch::run);
        assertEquals(10, watchedAfterReturn.get(5, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @EnumSource(names = {"REFUSED", "UNANSWERED", "CONNECTION_LOST"})
    void aWatchThatFailsWhileThePlatformAnswersIsNoOutage(PlatformFault fault) throws Exception {
        CountDownLatch watchedAgain = new CountDownLatch(4);
        WatchLoop<Integer, Integer> watch = loopOf(() -> {
            watchedAgain.countDown();
            return watchedAgain.getCount() % 2 == 0
                    ? CompletableFuture.completedFuture(new Versioned<>(null, 1))
                    : CompletableFuture.failedFuture(new PlatformException(fault, "the watch was cut off"));
        });
        loop.execute(watch::run);
        assertTrue(watchedAgain.await(5, TimeUnit.SECONDS), "watches left: " + watchedAgain.getCount());
        assertEquals(0, outages.get());
    }

    @Test
    void aReadingThatWasSentInAnOutageIsReplacedWhenThePlatformAnswersAgain() throws Exception {
        CountDownLatch sent = new CountDownLatch(2);
        WatchLoop<Integer, Integer> watch = new WatchLoop<>(
                "numbers",
                loop,
                health,
                false,
                () -> 0,
                () -> {
                    sent.countDown();
                    return new CompletableFuture<>();
                },
                revision -> new CompletableFuture<>(),
                value -> {},
                value -> {});
        loop.execute(watch::run);
        loop.execute(() -> watch.platformRecovered(System.nanoTime()));
        assertTrue(sent.await(5, TimeUnit.SECONDS), "readings left: " + sent.getCount());
    }

    /** Each failure costs two calls to the platform. */
    @Test
    void watchesThatFailAsSoonAsTheyBeginAreRepeatedWithPauses() throws Exception {
        WatchLoop<Integer, Integer> watch = loopOf(() ->
                CompletableFuture.failedFuture(new PlatformException(PlatformFault.REFUSED, "the watch was refused")));
        loop.execute(watch::run);
        Thread.sleep(1_000);
        assertTrue(reads.get() >= 2 && reads.get() <= 5, "reads: " + reads.get());
    }

    private WatchLoop<Integer, Integer> loopOf(Supplier<CompletionStage<Versioned<Integer>>> watch) {
        return new WatchLoop<>(
                "numbers",
                loop,
                health,
                true,
                () -> 0,
                () -> CompletableFuture.completedFuture(new Versioned<>(reads.incrementAndGet(), 1)),
                revision -> watch.get(),
                value -> {},
                value -> {});
    }
}
