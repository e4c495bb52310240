package io.jayhead.dispatch;

import io.jayhead.model.UpstreamName;
import java.util.Optional;

/** Represents an input of a request's state machine. */
public sealed interface DispatchEvent {

    /** Represents an event of one attempt. Events of earlier attempts are ignored. */
    sealed interface AttemptEvent extends DispatchEvent {
        /**
         * Returns the number of the attempt.
         *
         * @return the number of the attempt, from 1
         */
        int attempt();
    }

    /**
     * The request was admitted and routed.
     *
     * @param upstream the upstream of the first attempt
     * @param nowMs the current time
     */
    record Admitted(UpstreamName upstream, long nowMs) implements DispatchEvent {}

    /**
     * The connection failed before a byte of the request was written.
     *
     * @param attempt the number of the attempt
     */
    record ConnectFailed(int attempt) implements AttemptEvent {}

    /**
     * The upstream answered with an error.
     *
     * @param attempt the number of the attempt
     * @param httpStatus the HTTP status
     * @param code the error code of the upstream; blank if none
     * @param definite whether this is a documented refusal, which proves that the attempt did not run
     */
    record Refused(int attempt, int httpStatus, String code, boolean definite) implements AttemptEvent {}

    /**
     * The engine accepted the prompt.
     *
     * @param attempt the number of the attempt
     * @param promptTokens the number of prompt tokens
     */
    record Started(int attempt, long promptTokens) implements AttemptEvent {}

    /**
     * A token arrived.
     *
     * @param attempt the number of the attempt
     * @param index the position of the token in the answer, from 0
     * @param text the text of the token
     * @param nowMs the current time
     */
    record TokenReceived(int attempt, long index, String text, long nowMs) implements AttemptEvent {}

    /**
     * The end marker of a stream arrived.
     *
     * @param attempt the number of the attempt
     * @param promptTokens the number of prompt tokens
     * @param outputTokens the number of output tokens of the whole run, including those received before a resumption
     */
    record Done(int attempt, long promptTokens, long outputTokens) implements AttemptEvent {}

    /**
     * A plain service answered.
     *
     * @param attempt the number of the attempt
     * @param httpStatus the HTTP status
     * @param body the response body
     */
    record Answered(int attempt, int httpStatus, String body) implements AttemptEvent {}

    /**
     * The connection broke.
     *
     * @param attempt the number of the attempt
     * @param bytesSent whether part of the request may have been written; if not, the attempt did not run
     */
    record ConnectionBroken(int attempt, boolean bytesSent) implements AttemptEvent {}

    /**
     * The upstream confirmed the cancellation or could not be reached.
     *
     * @param attempt the number of the cancelled attempt
     * @param usage the usage that the upstream reports; empty if it reports none
     */
    record Cancelled(int attempt, Optional<Usage> usage) implements AttemptEvent {}

    /**
     * Time has passed.
     *
     * @param nowMs the current time
     */
    record Tick(long nowMs) implements DispatchEvent {}

    /**
     * The retry budget decided on {@link DispatchCommand.RequestRetry}.
     *
     * @param allowed whether the retry may be made
     * @param nowMs the current time
     */
    record RetryDecided(boolean allowed, long nowMs) implements DispatchEvent {}

    /**
     * Routing chose an upstream for {@link DispatchCommand.ChooseUpstream}.
     *
     * @param upstream the upstream
     * @param nowMs the current time
     */
    record UpstreamChosen(UpstreamName upstream, long nowMs) implements DispatchEvent {}

    /** Routing found no eligible upstream for {@link DispatchCommand.ChooseUpstream}. */
    record NoUpstream() implements DispatchEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements DispatchEvent {}

    /** The charge was committed on the platform. */
    record Charged() implements DispatchEvent {}

    /** The charge is held by this router and two peers because of a platform outage. */
    record ChargeHeld() implements DispatchEvent {}

    /** The charge could be neither committed nor held. */
    record ChargeFailed() implements DispatchEvent {}
}
