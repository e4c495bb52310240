package io.jayhead.daemon;

import io.jayhead.daemon.budget.AdmissionService;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.Heartbeats;
import io.jayhead.daemon.request.RequestRegistry;
import io.jayhead.model.IncarnationId;
import io.jayhead.peer.PeerRequestHandler;
import io.jayhead.peer.pb.CommitChargesReply;
import io.jayhead.peer.pb.Failure;
import io.jayhead.peer.pb.Frame;
import java.util.concurrent.CompletableFuture;

/** Dispatches the requests of other routers, on the control thread, to the services that answer them. */
final class PeerRequestDispatcher implements PeerRequestHandler {

    private final ControlThread control;
    private final Heartbeats heartbeats;
    private final ChargeService charges;
    private final RequestRegistry registry;
    private final AdmissionService admission;

    PeerRequestDispatcher(
            ControlThread control,
            Heartbeats heartbeats,
            ChargeService charges,
            RequestRegistry registry,
            AdmissionService admission) {
        this.control = control;
        this.heartbeats = heartbeats;
        this.charges = charges;
        this.registry = registry;
        this.admission = admission;
    }

    @Override
    public CompletableFuture<Frame> handle(Frame request) {
        return control.submit(() -> answer(request)).thenCompose(reply -> reply);
    }

    private CompletableFuture<Frame> answer(Frame request) {
        return switch (request.getBodyCase()) {
            case HEARTBEAT -> CompletableFuture.completedFuture(heartbeats.answer(request.getHeartbeat()));
            case FLEET_PUSH -> CompletableFuture.completedFuture(heartbeats.answer(request.getFleetPush()));
            case HOLD_CHARGES -> CompletableFuture.completedFuture(charges.answer(request.getHoldCharges()));
            case RELEASE_CHARGES -> CompletableFuture.completedFuture(charges.answer(request.getReleaseCharges()));
            case BEGIN -> CompletableFuture.completedFuture(registry.handle(request.getBegin()));
            case APPEND -> charges.answer(request.getAppend());
            case COMMIT_CHARGES ->
                charges.commitPending(
                                IncarnationId.of(request.getCommitCharges().getIncarnation()))
                        .thenApply(committed -> Frame.newBuilder()
                                .setCommitChargesReply(CommitChargesReply.getDefaultInstance())
                                .build());
            case BORROW -> admission.lend(request.getBorrow());
            default -> CompletableFuture.completedFuture(unknownRequest(request));
        };
    }

    private static Frame unknownRequest(Frame request) {
        Failure failure = Failure.newBuilder()
                .setCode("unknown_request")
                .setMessage("request " + request.getBodyCase() + " is not known")
                .build();
        return Frame.newBuilder().setFailure(failure).build();
    }
}
