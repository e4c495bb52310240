package io.jayhead.gateway.exchange;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.admission.room.RoomCircumstances;
import io.jayhead.admission.room.RoomRequest;
import io.jayhead.admission.room.RoomStep;
import io.jayhead.admission.room.RoomVerdict;
import io.jayhead.admission.room.ServiceAdmission;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Carries out the decisions of {@link ServiceAdmission} for one service; used by the traffic thread. */
final class ServiceGate {

    private final EventLoop loop;
    private final Supplier<ServiceRoom> room;
    private final GateRecorder recorder;
    private final Map<String, Waiter> waiters = new HashMap<>();
    private ServiceAdmission admission = ServiceAdmission.empty();

    ServiceGate(EventLoop loop, Supplier<ServiceRoom> room, GateRecorder recorder) {
        this.loop = loop;
        this.room = room;
        this.recorder = recorder;
    }

    /**
     * Admits a request, lets it wait until it expires or is displaced, or refuses it.
     *
     * @param request the request, whose id no other waiting request has
     * @param waiter is told the decision, possibly before this method returns
     */
    void enter(RoomRequest request, Waiter waiter) {
        waiters.put(request.id(), waiter);
        RoomCircumstances now = circumstances();
        RoomStep step = admission.arrived(request, now);
        boolean waits = step.verdicts().stream()
                .noneMatch(verdict -> verdict.request().id().equals(request.id()));
        if (waits) {
            recorder.waits(request, waiter.requestId());
            long waitMs = Math.max(1, request.expiresAtMs() - now.atMs());
            loop.schedule(this::timePassed, waitMs, TimeUnit.MILLISECONDS);
        }
        apply(step, now.atMs());
    }

    /** Removes a waiting request whose caller has left; does nothing if it no longer waits. */
    void cancel(String id) {
        if (waiters.remove(id) != null) {
            admission = admission.cancelled(id);
        }
    }

    /**
     * Ends an admitted request.
     *
     * @param admitted the verdict that admitted it
     * @param heldMs the time since it was admitted
     */
    void leave(RoomVerdict admitted, double heldMs) {
        RoomCircumstances now = circumstances();
        apply(admission.left(admitted, heldMs, now), now.atMs());
    }

    /**
     * Records how late an admitted request was answered.
     *
     * @param admitted the verdict that admitted it
     * @param answerMs the time from sending it to its answer or to the first event
     */
    void answered(RoomVerdict admitted, double answerMs) {
        admission = admission.answered(admitted, answerMs, nowMs());
    }

    /** Records that an admitted request was given up without an answer. */
    void givenUp(RoomVerdict admitted, double heldMs) {
        admission = admission.givenUp(admitted, heldMs, nowMs());
    }

    /** Returns for how long the service has been overloaded; 0 if it is not. */
    long overloadedMs() {
        return admission.overloadMs(nowMs());
    }

    private void timePassed() {
        RoomCircumstances now = circumstances();
        apply(admission.timePassed(now), now.atMs());
    }

    private void apply(RoomStep step, long nowMs) {
        // A waiter may call this gate again when it is notified, so the state is replaced first.
        admission = step.next();
        for (RoomVerdict verdict : step.verdicts()) {
            Waiter waiter = waiters.remove(verdict.request().id());
            if (waiter == null) {
                // The request was cancelled when a waiter before it was notified.
                cancelDecided(verdict);
                continue;
            }
            recorder.decided(verdict, waiter.requestId(), nowMs);
            waiter.decided(verdict);
        }
    }

    private void cancelDecided(RoomVerdict verdict) {
        if (verdict.isAdmitted()) {
            leave(verdict, 0);
        }
    }

    private RoomCircumstances circumstances() {
        return new RoomCircumstances(
                nowMs(), room.get(), ThreadLocalRandom.current().nextDouble());
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Receives the decision on a request. */
    interface Waiter {

        /** Returns the id that the caller chose. */
        String requestId();

        void decided(RoomVerdict verdict);
    }
}
