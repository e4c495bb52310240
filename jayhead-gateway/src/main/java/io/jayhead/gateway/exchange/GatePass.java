package io.jayhead.gateway.exchange;

import io.jayhead.admission.room.RoomRequest;
import io.jayhead.admission.room.RoomVerdict;
import io.jayhead.dispatch.forward.RetryDelay;
import io.jayhead.gateway.wire.GenerationSize;
import io.jayhead.gateway.wire.PromptPart;
import io.jayhead.model.OrganisationName;
import io.jayhead.routing.catalog.Organisation;

/** The way of one request through the gate of its service; used by the traffic thread. */
final class GatePass {

    /** Stands for the callers of routes that need no key. */
    private static final OrganisationName ANONYMOUS = OrganisationName.of("anonymous");
    /** In prompt tokens: each output token takes a step of the engine, which reads many prompt tokens in a step. */
    private static final double WORK_PER_OUTPUT_TOKEN = 50;

    private final ServiceGate gate;
    private final AdmittedRequest request;
    private final RoomRequest roomRequest;
    private RoomVerdict verdict;
    private boolean answered;
    private boolean left;
    private long admittedAtNs;

    /**
     * Creates a pass.
     *
     * @param gates the gates
     * @param request the request
     * @param leftMs the milliseconds for which its caller still waits
     */
    GatePass(ServiceGates gates, AdmittedRequest request, long leftMs) {
        this.gate = gates.of(request.service().name());
        this.request = request;
        long triedForMs = gates.triedForMs(request.route().name(), request.limitMs());
        this.roomRequest = roomRequest(gates.newId(), triedForMs, leftMs);
    }

    /** Asks for admission; exactly one of the two actions runs, unless {@link #leave()} is called before. */
    void enter(Runnable onAdmitted, Runnable onRefused) {
        gate.enter(roomRequest, new ServiceGate.Waiter() {
            @Override
            public String requestId() {
                return request.metadata().requestId();
            }

            @Override
            public void decided(RoomVerdict decided) {
                verdict = decided;
                admittedAtNs = System.nanoTime();
                Runnable action = decided.isAdmitted() ? onAdmitted : onRefused;
                action.run();
            }
        });
    }

    /** Records the time from sending the request to its answer, or to the first event of its stream. */
    void answered(double answerMs) {
        answered = true;
        gate.answered(verdict, answerMs);
    }

    /** Ends the request, which may have been given up without an answer. Later calls do nothing. */
    void leave() {
        if (left) {
            return;
        }
        left = true;
        if (verdict == null) {
            gate.cancel(roomRequest.id());
            return;
        }
        if (!verdict.isAdmitted()) {
            return;
        }
        double heldMs = (System.nanoTime() - admittedAtNs) / 1e6;
        if (!answered && heldMs > request.route().latencyObjectiveMs()) {
            gate.givenUp(verdict, heldMs);
        }
        gate.leave(verdict, heldMs);
    }

    /** Returns the delay of a retry after a refusal in milliseconds; 0 if the caller has no time left for one. */
    long retryDelayMs() {
        long leftMs = roomRequest.deadlineAtMs() - ServiceGate.nowMs();
        return RetryDelay.forRoomMs(gate.overloadedMs(), verdict.roomInMs(), leftMs, (long) verdict.answerMs());
    }

    private RoomRequest roomRequest(String id, long triedForMs, long leftMs) {
        OrganisationName organisation = request.organisation()
                .map(Organisation::name)
                .map(OrganisationName::of)
                .orElse(ANONYMOUS);
        long nowMs = ServiceGate.nowMs();
        int objectiveMs = request.route().latencyObjectiveMs();
        // Since the first attempt of the caller.
        long elapsedMs = triedForMs + request.limitMs() - leftMs;
        return new RoomRequest(
                id,
                organisation,
                request.route().name(),
                request.orderRank(),
                nowMs,
                objectiveMs,
                nowMs + objectiveMs - elapsedMs,
                nowMs + leftMs,
                request.metadata().size().map(this::work).orElse(1.0));
    }

    /** Returns the work of a generation in prompt tokens; shared parts are assumed to be cached. */
    private double work(GenerationSize size) {
        int sharedTokens = request.metadata().sharedParts().stream()
                .mapToInt(PromptPart::tokens)
                .sum();
        int ownTokens = Math.max(0, size.promptTokens() - sharedTokens);
        return ownTokens + WORK_PER_OUTPUT_TOKEN * size.maxOutputTokens();
    }
}
