package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;
import java.util.Optional;

/** Tells the state machine of a request what happened. */
public sealed interface DispatchEvent {

    /** An event of one attempt. Events of older attempts are ignored. */
    sealed interface OfAttempt extends DispatchEvent {
        /**
         * Returns the number of the attempt.
         *
         * @return the number, from 1
         */
        int attempt();
    }

    /**
     * The request was admitted and routed.
     *
     * @param upstream the upstream of the first attempt
     * @param nowMs the time
     */
    record Begin(UpstreamName upstream, long nowMs) implements DispatchEvent {}

    /**
     * The connection failed before a byte of the request was written.
     *
     * @param attempt the attempt
     */
    record ConnectFailed(int attempt) implements OfAttempt {}

    /**
     * The upstream answered with an error.
     *
     * @param attempt the attempt
     * @param httpStatus the HTTP status
     * @param code the error code of the upstream; blank if none
     * @param definite whether it is a documented refusal, after which the attempt certainly did not run
     */
    record Refused(int attempt, int httpStatus, String code, boolean definite) implements OfAttempt {}

    /**
     * The engine accepted the prompt.
     *
     * @param attempt the attempt
     * @param promptTokens the tokens of the prompt
     */
    record Started(int attempt, long promptTokens) implements OfAttempt {}

    /**
     * A token arrived.
     *
     * @param attempt the attempt
     * @param index the position in the answer, from 0
     * @param text the text
     * @param nowMs the time
     */
    record TokenReceived(int attempt, long index, String text, long nowMs) implements OfAttempt {}

    /**
     * The end marker of a stream arrived.
     *
     * @param attempt the attempt
     * @param promptTokens the tokens of the prompt
     * @param outputTokens the tokens of the whole answer
     */
    record Done(int attempt, long promptTokens, long outputTokens) implements OfAttempt {}

    /**
     * A plain service answered.
     *
     * @param attempt the attempt
     * @param httpStatus the HTTP status
     * @param body the body
     */
    record Answered(int attempt, int httpStatus, String body) implements OfAttempt {}

    /**
     * The connection broke.
     *
     * @param attempt the attempt
     * @param bytesSent whether a byte of the request may have been written
     */
    record ConnectionBroken(int attempt, boolean bytesSent) implements OfAttempt {}

    /**
     * The upstream answered the cancellation, or could not be reached for it.
     *
     * @param attempt the attempt that was cancelled
     * @param usage what the upstream reports, if it does
     */
    record Cancelled(int attempt, Optional<Usage> usage) implements OfAttempt {}

    /**
     * Time has passed.
     *
     * @param nowMs the time
     */
    record Tick(long nowMs) implements DispatchEvent {}

    /**
     * The retry budget answered {@link DispatchCommand.CountRetry}.
     *
     * @param allowed whether the retry may be made
     * @param nowMs the time
     */
    record RetryDecided(boolean allowed, long nowMs) implements DispatchEvent {}

    /**
     * Routing answered {@link DispatchCommand.ChooseUpstream}.
     *
     * @param upstream the upstream
     * @param nowMs the time
     */
    record UpstreamChosen(UpstreamName upstream, long nowMs) implements DispatchEvent {}

    /** Routing found no upstream. */
    record NoUpstream() implements DispatchEvent {}

    /** The caller closed its connection. */
    record CallerGone() implements DispatchEvent {}

    /** The charge is committed in the platform. */
    record Charged() implements DispatchEvent {}

    /** The charge is held by this router and two peers during an outage of the platform. */
    record ChargeHeld() implements DispatchEvent {}

    /** The charge could be neither committed nor held. */
    record ChargeFailed() implements DispatchEvent {}
}
