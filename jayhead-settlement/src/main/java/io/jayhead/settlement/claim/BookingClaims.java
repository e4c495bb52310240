package io.jayhead.settlement.claim;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import io.jayhead.model.Verdict;

/**
 * Decides the steps of a booking at one router.
 *
 * <p>An attempt sends the booking at most once, and only after the claim is known to be stored with the nonce of the
 * attempt. A claim never expires: as long as no outcome is stored, later requests with the same key are told that the
 * booking may have run.
 *
 * <p>The answer waits a bounded time until the outcome is stored. If the caller is answered before that, a retry finds
 * a claim without an outcome: it is told that the booking is in progress or, later, that it may have run, with the path
 * where the status can be read.
 *
 * <p>If the platform fails before dispatch, this request certainly did not run; the message says that an earlier
 * request with the same key may have run. A delayed create may still store the claim in the platform afterwards. Later
 * requests with the key are then told that the booking may have run, which is safe although it did not.
 */
public final class BookingClaims {

    private static final Verdict NOT_DISPATCHED = Verdict.notRun(NotRunProof.BEFORE_DISPATCH);

    private BookingClaims() {}

    /**
     * Starts a booking by claiming its request key.
     *
     * @param settings the parameters
     * @param claim the record to store, with status {@link ClaimStatus#CLAIMED} and a nonce that was never used
     * @return the first state and the command to create the claim
     * @throws IllegalArgumentException if the record has another status
     */
    public static Transition<BookingState, ClaimCommand> start(ClaimSettings settings, ClaimRecord claim) {
        if (claim.status() != ClaimStatus.CLAIMED) {
            throw new IllegalArgumentException(
                    "a booking must start with a new claim, but its status is " + claim.status());
        }
        return Transition.of(
                new BookingState(settings, claim, new ClaimPhase.Writing(), 1), new ClaimCommand.CreateClaim(claim));
    }

    /**
     * Handles an event; events that the current phase does not expect are ignored.
     *
     * @param state the current state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<BookingState, ClaimCommand> handle(BookingState state, ClaimEvent event) {
        ClaimPhase phase = state.phase();
        if (phase instanceof ClaimPhase.Writing) {
            return handleWriting(state, event);
        }
        if (phase instanceof ClaimPhase.Reading reading) {
            return handleReading(state, reading, event);
        }
        if (phase instanceof ClaimPhase.Dispatched dispatched) {
            return handleDispatched(state, dispatched, event);
        }
        if (phase instanceof ClaimPhase.Storing storing) {
            return handleStoring(state, storing, event);
        }
        return Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> handleWriting(BookingState state, ClaimEvent event) {
        if (event instanceof ClaimEvent.ClaimCreated created) {
            return dispatch(state, created.version());
        }
        if (event instanceof ClaimEvent.ClaimConflict) {
            return Transition.of(state.withPhase(new ClaimPhase.Reading(true)), new ClaimCommand.ReadClaim());
        }
        if (event instanceof ClaimEvent.ClaimWriteUnanswered) {
            return Transition.of(state.withPhase(new ClaimPhase.Reading(false)), new ClaimCommand.ReadClaim());
        }
        return event instanceof ClaimEvent.PlatformDown ? refusePlatformDown(state) : Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> handleReading(
            BookingState state, ClaimPhase.Reading reading, ClaimEvent event) {
        if (event instanceof ClaimEvent.PlatformDown) {
            return refusePlatformDown(state);
        }
        if (!(event instanceof ClaimEvent.ClaimRead read)) {
            return Transition.of(state);
        }
        if (read.claim().isEmpty()) {
            // After a conflict the object must exist. If it is absent, it was deleted, and the booking may have run.
            return reading.conflict()
                    ? finish(state, new ClaimCommand.AnswerMayHaveRun())
                    : retryWrite(state, new ClaimCommand.CreateClaim(state.claim()));
        }
        ClaimRecord found = read.claim().get();
        if (found.nonce().equals(state.claim().nonce())) {
            return dispatch(state, read.version());
        }
        return handleForeignClaim(state, found, read);
    }

    private static Transition<BookingState, ClaimCommand> handleForeignClaim(
            BookingState state, ClaimRecord found, ClaimEvent.ClaimRead read) {
        if (!found.bodyDigest().equals(state.claim().bodyDigest())) {
            return refuse(
                    state, ErrorCode.KEY_REUSED, NOT_DISPATCHED, "the idempotency key was used with another body");
        }
        return switch (found.status()) {
            case RELEASED -> retryWrite(state, new ClaimCommand.RetakeReleasedClaim(read.version(), state.claim()));
            case RAN -> finish(state, answerFrom(found.answer().orElseThrow()));
            case CLAIMED ->
                finish(
                        state,
                        read.nowMs() - found.dispatchedAtMs() < state.settings().inProgressMs()
                                ? new ClaimCommand.AnswerInProgress()
                                : new ClaimCommand.AnswerMayHaveRun());
        };
    }

    private static ClaimCommand answerFrom(StoredAnswer answer) {
        return answer.body()
                .<ClaimCommand>map(body -> new ClaimCommand.AnswerStored(answer.status(), body))
                .orElseGet(() -> new ClaimCommand.Refuse(
                        ErrorCode.CONFLICT,
                        Verdict.ran(),
                        "the booking ran with status " + answer.status() + "; its answer was too large to be stored"));
    }

    private static Transition<BookingState, ClaimCommand> retryWrite(BookingState state, ClaimCommand write) {
        return state.attempts() >= state.settings().maxAttempts()
                ? refusePlatformDown(state)
                : Transition.of(state.withAttempt(), write);
    }

    private static Transition<BookingState, ClaimCommand> dispatch(BookingState state, long version) {
        return Transition.of(state.withPhase(new ClaimPhase.Dispatched(version)), new ClaimCommand.Dispatch());
    }

    private static Transition<BookingState, ClaimCommand> handleDispatched(
            BookingState state, ClaimPhase.Dispatched phase, ClaimEvent event) {
        if (event instanceof ClaimEvent.CallFinished call) {
            ClaimRecord ran = state.claim().ran(StoredAnswer.of(call.status(), call.body()));
            ClaimCommand answer = new ClaimCommand.AnswerFresh(call.status(), call.body());
            return store(state, new ClaimCommand.StoreOutcome(phase.version(), ran), answer, call.nowMs());
        }
        if (event instanceof ClaimEvent.CallNotRun call) {
            ClaimRecord released = state.claim().released(call.proof());
            ClaimCommand answer = new ClaimCommand.Refuse(
                    ErrorCode.UPSTREAM_REFUSED, Verdict.notRun(call.proof()), "the booking was not run");
            return store(state, new ClaimCommand.ReleaseClaim(phase.version(), released), answer, call.nowMs());
        }
        if (event instanceof ClaimEvent.CallOutcomeUnknown) {
            return refuse(
                    state, ErrorCode.OUTCOME_UNKNOWN, Verdict.mayHaveRun(), "the outcome of the booking is unknown");
        }
        return Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> store(
            BookingState state, ClaimCommand write, ClaimCommand answer, long nowMs) {
        long answerAtMs = nowMs + state.settings().storeWaitMs();
        return Transition.of(state.withPhase(new ClaimPhase.Storing(answer, answerAtMs)), write);
    }

    private static Transition<BookingState, ClaimCommand> handleStoring(
            BookingState state, ClaimPhase.Storing storing, ClaimEvent event) {
        boolean waitExpired = event instanceof ClaimEvent.Tick tick && tick.nowMs() >= storing.answerAtMs();
        boolean storeEnded = event instanceof ClaimEvent.OutcomeStored
                || event instanceof ClaimEvent.OutcomeStoreFailed
                || event instanceof ClaimEvent.PlatformDown;
        return waitExpired || storeEnded ? finish(state, storing.answer()) : Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> refusePlatformDown(BookingState state) {
        return refuse(
                state,
                ErrorCode.PLATFORM_UNAVAILABLE,
                NOT_DISPATCHED,
                "this request did not run; an earlier one with the same idempotency key may have");
    }

    private static Transition<BookingState, ClaimCommand> refuse(
            BookingState state, ErrorCode code, Verdict verdict, String message) {
        return finish(state, new ClaimCommand.Refuse(code, verdict, message));
    }

    private static Transition<BookingState, ClaimCommand> finish(BookingState state, ClaimCommand answer) {
        return Transition.of(state.withPhase(new ClaimPhase.Done()), answer);
    }
}
