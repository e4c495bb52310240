package io.jayhead.gateway.exchange;

import io.jayhead.admission.overload.AdaptiveLimit;
import io.jayhead.admission.queue.Dequeued;
import io.jayhead.admission.queue.FairQueue;
import io.jayhead.admission.queue.QueueRefusal;
import io.jayhead.admission.queue.QueuedRequest;
import io.jayhead.model.Either;
import io.jayhead.routing.DecayedMean;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Admits the requests of this router to one service: at once below the learned limit, after a short wait in a fair
 * queue if a place is expected to become free in time, and not at all otherwise; used by the traffic thread.
 */
final class ServiceGate {

    private static final int MAX_WAITING = 64;
    private static final int MAX_WAITING_OF_ORGANISATION = 16;
    private static final long HOLD_HALF_LIFE_MS = 4_000;
    /** Refusals that are further apart than this belong to different overloads. */
    private static final long OVERLOAD_GAP_MS = 2_000;

    private final EventLoop loop;
    private final Map<String, Waiter> waiters = new HashMap<>();
    private FairQueue queue = FairQueue.empty(MAX_WAITING_OF_ORGANISATION, MAX_WAITING);
    private AdaptiveLimit limit = AdaptiveLimit.none();
    private DecayedMean holdMs = DecayedMean.empty();
    private int inFlight;
    private long overloadedSinceMs;
    private long lastRefusalMs;

    ServiceGate(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Admits a request, lets it wait until it expires, or refuses it.
     *
     * @param request the request, whose id no other waiting request has
     * @param waiter is told the decision, possibly before this method returns
     */
    void enter(QueuedRequest request, Waiter waiter) {
        if (queue.size() == 0 && admitsNext()) {
            inFlight++;
            waiter.admitted();
            return;
        }
        Either<QueueRefusal, FairQueue> offered = queue.offer(request, nowMs(), estimatedWaitMs(request));
        if (!offered.isRight()) {
            refuse(waiter);
            return;
        }
        queue = offered.get();
        waiters.put(request.id(), waiter);
        long waitMs = Math.max(1, request.expiresAtMs() - nowMs());
        loop.schedule(() -> expire(request.id()), waitMs, TimeUnit.MILLISECONDS);
    }

    /** Removes a waiting request whose caller has left; does nothing if it no longer waits. */
    void cancel(String id) {
        if (waiters.remove(id) != null) {
            queue = queue.without(waiting -> waiting.id().equals(id));
        }
    }

    /**
     * Ends an admitted request.
     *
     * @param heldMs the time since it was admitted
     */
    void leave(double heldMs) {
        inFlight--;
        holdMs = holdMs.with(heldMs, nowMs(), HOLD_HALF_LIFE_MS);
        while (queue.size() > 0 && admitsNext()) {
            Optional<Dequeued> next = queue.next(waiting -> true);
            queue = next.get().queue();
            inFlight++;
            waiters.remove(next.get().request().id()).admitted();
        }
    }

    /**
     * Records how late an admitted request was answered.
     *
     * @param answerMs the time from sending it to its answer, to the first event, or to the time when it was given up
     * @param objectiveMs the objective of its route
     */
    void answered(double answerMs, int objectiveMs) {
        limit = limit.answered(answerMs, objectiveMs, inFlight, nowMs());
    }

    /** Returns for how long the service has been overloaded; 0 if it is not. */
    long overloadedMs() {
        return isOverloaded() ? nowMs() - overloadedSinceMs : 0;
    }

    private boolean admitsNext() {
        return limit.admits(inFlight, ThreadLocalRandom.current().nextDouble());
    }

    private long estimatedWaitMs(QueuedRequest request) {
        if (inFlight == 0) {
            // No request will leave and make room.
            return Long.MAX_VALUE;
        }
        double meanHoldMs = holdMs.blend(0, 1, nowMs(), HOLD_HALF_LIFE_MS);
        return (long) ((queue.ahead(request) + 1) * meanHoldMs / Math.max(1, limit.requests()));
    }

    private void expire(String id) {
        Waiter waiter = waiters.get(id);
        if (waiter != null) {
            cancel(id);
            refuse(waiter);
        }
    }

    private void refuse(Waiter waiter) {
        if (!isOverloaded()) {
            overloadedSinceMs = nowMs();
        }
        lastRefusalMs = nowMs();
        waiter.refused();
    }

    private boolean isOverloaded() {
        return lastRefusalMs > 0 && nowMs() - lastRefusalMs < OVERLOAD_GAP_MS;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Is told whether a request may be sent. */
    interface Waiter {

        void admitted();

        void refused();
    }
}
