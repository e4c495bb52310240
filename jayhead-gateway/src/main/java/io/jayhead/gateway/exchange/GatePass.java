package io.jayhead.gateway.exchange;

import io.jayhead.admission.queue.QueuedRequest;
import io.jayhead.model.OrganisationName;
import io.jayhead.routing.catalog.Organisation;

/** The way of one request through the gate of its service; used by the traffic thread. */
final class GatePass {

    /** A request waits for at most this multiple of its objective, so that it can still be answered soon. */
    private static final double MAX_WAIT_OBJECTIVES = 0.25;
    /** Stands for the callers of routes that need no key. */
    private static final OrganisationName ANONYMOUS = OrganisationName.of("anonymous");

    private static final int HIGHEST_RANK = 9;
    private static final int WEIGHT = 1;

    private final ServiceGate gate;
    private final AdmittedRequest request;
    private final String id;
    private boolean admitted;
    private boolean answered;
    private boolean left;
    private long admittedAtNs;

    GatePass(ServiceGates gates, AdmittedRequest request) {
        this.gate = gates.of(request.service().name());
        this.request = request;
        this.id = gates.newId();
    }

    /** Asks for admission; exactly one of the two actions runs, unless {@link #leave()} is called before. */
    void enter(Runnable onAdmitted, Runnable onRefused) {
        gate.enter(queued(), new ServiceGate.Waiter() {
            @Override
            public void admitted() {
                admitted = true;
                admittedAtNs = System.nanoTime();
                onAdmitted.run();
            }

            @Override
            public void refused() {
                onRefused.run();
            }
        });
    }

    /** Records the time from sending the request to its answer, or to the first event of its stream. */
    void answered(double answerMs) {
        answered = true;
        gate.answered(answerMs, request.route().latencyObjectiveMs());
    }

    /** Ends the request; one that was given up after its objective counts as late. Later calls do nothing. */
    void leave() {
        if (left) {
            return;
        }
        left = true;
        if (!admitted) {
            gate.cancel(id);
            return;
        }
        double heldMs = (System.nanoTime() - admittedAtNs) / 1e6;
        if (!answered && heldMs > request.route().latencyObjectiveMs()) {
            answered(heldMs);
        }
        gate.leave(heldMs);
    }

    /** Returns for how long the service has been overloaded, in milliseconds. */
    long overloadedMs() {
        return gate.overloadedMs();
    }

    private QueuedRequest queued() {
        OrganisationName organisation = request.organisation()
                .map(Organisation::name)
                .map(OrganisationName::of)
                .orElse(ANONYMOUS);
        long costTokens =
                request.metadata().size().map(size -> size.maxTokens()).orElse(1L);
        long waitMs = (long) (MAX_WAIT_OBJECTIVES * request.route().latencyObjectiveMs());
        return new QueuedRequest(
                id,
                organisation,
                request.service().name(),
                HIGHEST_RANK - request.rank(),
                costTokens,
                WEIGHT,
                System.nanoTime() / 1_000_000 + waitMs);
    }
}
