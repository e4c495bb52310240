package io.jayhead.dispatch;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import java.util.Optional;
import java.util.Set;

/** Tells the owner of a request's state machine what to do. */
public sealed interface DispatchCommand {

    /**
     * Sends an attempt.
     *
     * @param attempt the number of the attempt, to be repeated in its events
     * @param upstream the upstream
     * @param upstreamRequestId the id of the run at the upstream; a resumed run keeps its id
     * @param resumeFromIndex the index of the first token to ask for; 0 sends the request itself
     * @param freshConnection whether no pooled connection may be used
     */
    record Send(
            int attempt, UpstreamName upstream, String upstreamRequestId, long resumeFromIndex, boolean freshConnection)
            implements DispatchCommand {}

    /**
     * Asks routing for an upstream; answered by {@link DispatchEvent.UpstreamChosen} or
     * {@link DispatchEvent.NoUpstream}.
     *
     * @param excluded the upstreams that must not be chosen
     * @param preferred the upstream to choose if it can serve
     */
    record ChooseUpstream(Set<UpstreamName> excluded, Optional<UpstreamName> preferred) implements DispatchCommand {
        /** Copies the set. */
        public ChooseUpstream {
            excluded = Set.copyOf(excluded);
        }
    }

    /** Asks the retry budget; answered by {@link DispatchEvent.RetryDecided}. */
    record CountRetry() implements DispatchCommand {}

    /**
     * Delivers a token to the caller.
     *
     * @param index the position in the answer, from 0
     * @param text the text
     */
    record DeliverToken(long index, String text) implements DispatchCommand {}

    /**
     * Delivers the answer of a plain service to the caller.
     *
     * @param httpStatus the HTTP status
     * @param body the body
     */
    record DeliverAnswer(int httpStatus, String body) implements DispatchCommand {}

    /**
     * Returns prompt tokens that were reserved and are not needed.
     *
     * @param tokens the tokens
     */
    record RefundPrompt(long tokens) implements DispatchCommand {}

    /**
     * Charges the request; given at most once. Answered by {@link DispatchEvent.Charged},
     * {@link DispatchEvent.ChargeHeld} or {@link DispatchEvent.ChargeFailed}.
     *
     * @param promptTokens the tokens of the prompt
     * @param outputTokens the tokens of the answer
     */
    record CommitCharge(long promptTokens, long outputTokens) implements DispatchCommand {}

    /**
     * Delivers the end marker of the answer to the caller.
     *
     * @param usage the tokens charged
     */
    record DeliverEnd(Usage usage) implements DispatchCommand {}

    /**
     * Ends the request with an error.
     *
     * @param code the error
     * @param verdict whether the request may have run
     * @param broken whether part of the answer was delivered, so that the connection must be aborted
     */
    record FailCaller(ErrorCode code, Verdict verdict, boolean broken) implements DispatchCommand {}

    /**
     * Cancels a run; the one of the current attempt is answered by {@link DispatchEvent.Cancelled}.
     *
     * @param attempt the last attempt of the run
     * @param upstream the upstream
     * @param upstreamRequestId the id of the run at the upstream
     */
    record CancelUpstream(int attempt, UpstreamName upstream, String upstreamRequestId) implements DispatchCommand {}

    /**
     * Reports a silent failure, so that {@link ConnectionHealth} can drop the pooled connections.
     *
     * @param upstream the upstream
     * @param sentMs when the attempt that went silent was sent
     */
    record DropConnections(UpstreamName upstream, long sentMs) implements DispatchCommand {}

    /** Ends the request: what remains of its reservation is released. Given exactly once, always last. */
    record Finish() implements DispatchCommand {}
}
