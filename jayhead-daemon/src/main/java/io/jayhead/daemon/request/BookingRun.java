package io.jayhead.daemon.request;

import io.jayhead.admission.AdmissionEvent;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import io.jayhead.model.Verdict;
import io.jayhead.platform.ReadResult;
import io.jayhead.platform.WriteResult;
import io.jayhead.settlement.claim.BookingClaims;
import io.jayhead.settlement.claim.BookingState;
import io.jayhead.settlement.claim.ClaimCommand;
import io.jayhead.settlement.claim.ClaimEvent;
import io.jayhead.settlement.claim.ClaimRecord;
import io.jayhead.settlement.claim.ClaimRecordCodec;
import io.jayhead.settlement.claim.ClaimSettings;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/** Runs one booking: claims its key in the platform, dispatches it at most once and stores the answer in the claim. */
final class BookingRun implements CallOutcomeListener {

    private static final String KIND = "claim";

    private final ValidatedRequest request;
    private final RequestComponents components;
    private final BookingAnswerWriter answerWriter;
    private final Dispatcher dispatcher;
    private final Deque<ClaimEvent> events = new ArrayDeque<>();
    private BookingState state;
    private boolean handling;
    private boolean dispatched;
    private boolean released;

    /** Sends the booking to an upstream and reports the outcome. */
    interface Dispatcher {
        void dispatch(CallOutcomeListener outcomeListener);
    }

    BookingRun(
            ValidatedRequest request,
            RequestComponents components,
            BookingAnswerWriter answerWriter,
            Dispatcher dispatcher) {
        this.request = request;
        this.components = components;
        this.answerWriter = answerWriter;
        this.dispatcher = dispatcher;
    }

    void start() {
        ClaimRecord claim = ClaimRecord.claimed(
                UUID.randomUUID().toString(),
                components.self().incarnation(),
                request.bodyDigest(),
                components.clock().nowMs());
        Transition<BookingState, ClaimCommand> transition = BookingClaims.start(ClaimSettings.standard(), claim);
        state = transition.state();
        transition.commands().forEach(this::execute);
    }

    @Override
    public void answered(int status, String body) {
        post(new ClaimEvent.CallFinished(components.clock().nowMs(), status, body));
    }

    @Override
    public void failed(ErrorCode code, Verdict verdict) {
        post(
                verdict instanceof Verdict.NotRun notRun
                        ? new ClaimEvent.CallNotRun(components.clock().nowMs(), notRun.proof())
                        : new ClaimEvent.CallOutcomeUnknown());
    }

    private synchronized void post(ClaimEvent event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            while (!events.isEmpty()) {
                Transition<BookingState, ClaimCommand> transition = BookingClaims.handle(state, events.poll());
                state = transition.state();
                transition.commands().forEach(this::execute);
            }
        } finally {
            handling = false;
        }
    }

    private void execute(ClaimCommand command) {
        if (command instanceof ClaimCommand.CreateClaim create) {
            write(components.store().create(KIND, objectName(), ClaimRecordCodec.encode(create.claim())));
        } else if (command instanceof ClaimCommand.RetakeReleasedClaim retake) {
            write(components
                    .store()
                    .update(KIND, objectName(), retake.expectedVersion(), ClaimRecordCodec.encode(retake.claim())));
        } else if (command instanceof ClaimCommand.ReadClaim) {
            components.store().read(KIND, objectName()).thenAcceptAsync(this::read, components.traffic());
        } else if (command instanceof ClaimCommand.Dispatch) {
            dispatch();
        } else if (command instanceof ClaimCommand.StoreOutcome store) {
            store(store.expectedVersion(), store.claim());
        } else if (command instanceof ClaimCommand.ReleaseClaim release) {
            store(release.expectedVersion(), release.claim());
        } else {
            answerWriter.send(command);
            releaseUnlessDispatched();
        }
    }

    private void dispatch() {
        if (!components.configuration().isFresh()) {
            events.add(new ClaimEvent.CallNotRun(components.clock().nowMs(), NotRunProof.BEFORE_DISPATCH));
            return;
        }
        dispatched = true;
        components
                .decisions()
                .record(
                        "claim",
                        request.key().value(),
                        "claimed nonce=%s",
                        state.claim().nonce());
        dispatcher.dispatch(this);
    }

    private void write(CompletableFuture<WriteResult> write) {
        write.thenAcceptAsync(
                result -> {
                    components
                            .platform()
                            .record(result instanceof WriteResult.Written || result instanceof WriteResult.Conflict);
                    post(claimEvent(result));
                },
                components.traffic());
    }

    private static ClaimEvent claimEvent(WriteResult result) {
        if (result instanceof WriteResult.Written written) {
            return new ClaimEvent.ClaimCreated(written.version());
        }
        if (result instanceof WriteResult.Conflict) {
            return new ClaimEvent.ClaimConflict();
        }
        return result instanceof WriteResult.NotWritten
                ? new ClaimEvent.PlatformDown()
                : new ClaimEvent.ClaimWriteUnanswered();
    }

    private void read(ReadResult result) {
        if (result instanceof ReadResult.Unavailable) {
            post(new ClaimEvent.PlatformDown());
            return;
        }
        Optional<ClaimRecord> claim = result.body().map(ClaimRecordCodec::decode);
        long version = result instanceof ReadResult.Found found ? found.object().version() : 0;
        post(new ClaimEvent.ClaimRead(components.clock().nowMs(), claim, version));
    }

    private void store(long expectedVersion, ClaimRecord claim) {
        components
                .store()
                .update(KIND, objectName(), expectedVersion, ClaimRecordCodec.encode(claim))
                .thenAcceptAsync(
                        result -> post(
                                result instanceof WriteResult.Written
                                        ? new ClaimEvent.OutcomeStored()
                                        : new ClaimEvent.OutcomeStoreFailed()),
                        components.traffic());
    }

    /** Releases the reservation if the booking was not dispatched; a dispatched call settles the reservation itself. */
    private void releaseUnlessDispatched() {
        if (dispatched || released) {
            return;
        }
        released = true;
        components
                .control()
                .execute(() -> components
                        .admission()
                        .handle(new AdmissionEvent.RequestReleased(
                                request.id(), components.clock().nowMs())));
    }

    private String objectName() {
        return request.key().value();
    }

    /** Handles the current time, so that the caller waits no longer than its limit for the outcome to be stored. */
    void tick(long nowMs) {
        post(new ClaimEvent.Tick(nowMs));
    }

    boolean isDone() {
        return state.done();
    }
}
