package io.jayhead.settlement.claim;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.NotRunProof;
import io.jayhead.model.Transition;
import io.jayhead.model.Verdict;

/**
 * Decides the steps of one booking at one router.
 *
 * <p>The booking is sent only after the claim was certainly made with this attempt's nonce, and at most once. A
 * claim never expires: without a stored outcome, later requests with the key are told that it may have run.
 *
 * <p>The answer waits a bounded time for its outcome to be stored. If it is given earlier, a retry sees a claim
 * without an outcome: it is told that the booking is in progress, later that it may have run, with the path where
 * the status can be read.
 *
 * <p>If the platform fails before dispatch, this request certainly did not run; an earlier request with the same key
 * may have, which the message says. A claim whose create was delayed may then remain in the platform; later requests
 * with the key are told that it may have run, which is safe.
 */
public final class BookingClaims {

    private static final Verdict NOT_DISPATCHED = Verdict.notRun(NotRunProof.BEFORE_DISPATCH);

    private BookingClaims() {}

    /**
     * Starts a booking.
     *
     * @param settings the parameters
     * @param claim the record to claim with; its nonce must be new
     * @return the first state and the order to create the claim
     */
    public static Transition<BookingState, ClaimCommand> start(ClaimSettings settings, ClaimRecord claim) {
        if (claim.status() != ClaimStatus.CLAIMED) {
            throw new IllegalArgumentException("a booking starts with a new claim, not " + claim.status());
        }
        return Transition.of(
                new BookingState(settings, claim, new ClaimPhase.Writing(), 1), new ClaimCommand.CreateClaim(claim));
    }

    /**
     * Handles an event; events that do not fit the phase are ignored.
     *
     * @param state the state
     * @param event the event
     * @return the next state and the commands
     */
    public static Transition<BookingState, ClaimCommand> handle(BookingState state, ClaimEvent event) {
        ClaimPhase phase = state.phase();
        if (phase instanceof ClaimPhase.Writing) {
            return writing(state, event);
        }
        if (phase instanceof ClaimPhase.Reading reading) {
            return reading(state, reading, event);
        }
        if (phase instanceof ClaimPhase.Dispatched dispatched) {
            return dispatched(state, dispatched, event);
        }
        if (phase instanceof ClaimPhase.Storing storing) {
            return storing(state, storing, event);
        }
        return Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> writing(BookingState state, ClaimEvent event) {
        if (event instanceof ClaimEvent.ClaimCreated created) {
            return dispatch(state, created.version());
        }
        if (event instanceof ClaimEvent.ClaimConflict) {
            return Transition.of(state.withPhase(new ClaimPhase.Reading(true)), new ClaimCommand.ReadClaim());
        }
        if (event instanceof ClaimEvent.ClaimUnknown) {
            return Transition.of(state.withPhase(new ClaimPhase.Reading(false)), new ClaimCommand.ReadClaim());
        }
        return event instanceof ClaimEvent.PlatformDown ? platformDown(state) : Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> reading(
            BookingState state, ClaimPhase.Reading reading, ClaimEvent event) {
        if (event instanceof ClaimEvent.PlatformDown) {
            return platformDown(state);
        }
        if (!(event instanceof ClaimEvent.ClaimRead read)) {
            return Transition.of(state);
        }
        if (read.claim().isEmpty()) {
            // After a conflict the object must exist; its absence means that someone deleted it.
            return reading.conflict()
                    ? done(state, new ClaimCommand.AnswerMayHaveRun())
                    : writeAgain(state, new ClaimCommand.CreateClaim(state.claim()));
        }
        ClaimRecord found = read.claim().get();
        if (found.nonce().equals(state.claim().nonce())) {
            return dispatch(state, read.version());
        }
        return foreign(state, found, read);
    }

    private static Transition<BookingState, ClaimCommand> foreign(
            BookingState state, ClaimRecord found, ClaimEvent.ClaimRead read) {
        if (!found.bodyDigest().equals(state.claim().bodyDigest())) {
            return refuse(
                    state, ErrorCode.KEY_REUSED, NOT_DISPATCHED, "the idempotency key was used with another body");
        }
        return switch (found.status()) {
            case RELEASED -> writeAgain(state, new ClaimCommand.RetakeReleasedClaim(read.version(), state.claim()));
            case RAN -> done(state, stored(found.answer().orElseThrow()));
            case CLAIMED ->
                done(
                        state,
                        read.nowMs() - found.dispatchedAtMs() < state.settings().inProgressMs()
                                ? new ClaimCommand.AnswerInProgress()
                                : new ClaimCommand.AnswerMayHaveRun());
        };
    }

    private static ClaimCommand stored(StoredAnswer answer) {
        return answer.body()
                .<ClaimCommand>map(body -> new ClaimCommand.AnswerStored(answer.status(), body))
                .orElseGet(() -> new ClaimCommand.Refuse(
                        ErrorCode.CONFLICT,
                        Verdict.ran(),
                        "the booking ran with status " + answer.status() + "; its answer was too large to be stored"));
    }

    private static Transition<BookingState, ClaimCommand> writeAgain(BookingState state, ClaimCommand write) {
        return state.attempts() >= state.settings().maxAttempts()
                ? platformDown(state)
                : Transition.of(state.withAttempt(), write);
    }

    private static Transition<BookingState, ClaimCommand> dispatch(BookingState state, long version) {
        return Transition.of(state.withPhase(new ClaimPhase.Dispatched(version)), new ClaimCommand.Dispatch());
    }

    private static Transition<BookingState, ClaimCommand> dispatched(
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
        if (event instanceof ClaimEvent.CallUnknown) {
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

    private static Transition<BookingState, ClaimCommand> storing(
            BookingState state, ClaimPhase.Storing storing, ClaimEvent event) {
        boolean late = event instanceof ClaimEvent.Tick tick && tick.nowMs() >= storing.answerAtMs();
        boolean settled = event instanceof ClaimEvent.OutcomeStored
                || event instanceof ClaimEvent.OutcomeStoreFailed
                || event instanceof ClaimEvent.PlatformDown;
        return late || settled ? done(state, storing.answer()) : Transition.of(state);
    }

    private static Transition<BookingState, ClaimCommand> platformDown(BookingState state) {
        return refuse(
                state,
                ErrorCode.PLATFORM_UNAVAILABLE,
                NOT_DISPATCHED,
                "this request did not run; an earlier one with the same idempotency key may have");
    }

    private static Transition<BookingState, ClaimCommand> refuse(
            BookingState state, ErrorCode code, Verdict verdict, String message) {
        return done(state, new ClaimCommand.Refuse(code, verdict, message));
    }

    private static Transition<BookingState, ClaimCommand> done(BookingState state, ClaimCommand answer) {
        return Transition.of(state.withPhase(new ClaimPhase.Done()), answer);
    }
}
