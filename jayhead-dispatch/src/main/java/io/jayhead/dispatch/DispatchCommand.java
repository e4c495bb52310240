package io.jayhead.dispatch;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.Verdict;
import java.util.Optional;
import java.util.Set;

/** Represents an action that the owner of a request's state machine must carry out. */
public sealed interface DispatchCommand {

    /**
     * Sends an attempt to an upstream.
     *
     * @param attempt the number of the attempt, which its events must repeat
     * @param upstream the upstream
     * @param upstreamRequestId the id of the run at the upstream; a resumed run keeps its id
     * @param resumeFromIndex the index of the first token to request from a resumed run; 0 sends the request itself
     * @param freshConnection whether a new connection must be opened instead of using a pooled one
     */
    record Send(
            int attempt, UpstreamName upstream, String upstreamRequestId, long resumeFromIndex, boolean freshConnection)
            implements DispatchCommand {}

    /**
     * Requests an upstream from routing. The response is {@link DispatchEvent.UpstreamChosen} or
     * {@link DispatchEvent.NoUpstream}.
     *
     * @param excluded the upstreams that must not be chosen
     * @param preferred the upstream to choose if it is eligible; empty for no preference
     */
    record ChooseUpstream(Set<UpstreamName> excluded, Optional<UpstreamName> preferred) implements DispatchCommand {
        /** Makes a defensive copy of the set. */
        public ChooseUpstream {
            excluded = Set.copyOf(excluded);
        }
    }

    /** Requests a retry from the retry budget. The response is {@link DispatchEvent.RetryDecided}. */
    record RequestRetry() implements DispatchCommand {}

    /**
     * Delivers a token to the caller.
     *
     * @param index the position of the token in the answer, from 0
     * @param text the text of the token
     */
    record DeliverToken(long index, String text) implements DispatchCommand {}

    /**
     * Delivers the answer of a plain service to the caller.
     *
     * @param httpStatus the HTTP status
     * @param body the response body
     */
    record DeliverAnswer(int httpStatus, String body) implements DispatchCommand {}

    /**
     * Releases prompt tokens that were reserved but are not needed.
     *
     * @param tokens the number of tokens
     */
    record RefundPrompt(long tokens) implements DispatchCommand {}

    /**
     * Charges the request; emitted at most once per request. The response is {@link DispatchEvent.Charged},
     * {@link DispatchEvent.ChargeHeld} or {@link DispatchEvent.ChargeFailed}.
     *
     * @param promptTokens the prompt tokens to charge; 0 for calls of plain services
     * @param outputTokens the output tokens to charge, or the price of the call
     */
    record CommitCharge(long promptTokens, long outputTokens) implements DispatchCommand {}

    /**
     * Delivers the end marker of the answer to the caller.
     *
     * @param usage the charged tokens
     */
    record DeliverEnd(Usage usage) implements DispatchCommand {}

    /**
     * Ends the request with an error.
     *
     * @param code the error code
     * @param verdict whether the request ran, may have run or did not run
     * @param broken whether part of the answer was delivered, in which case the connection must be aborted
     */
    record FailCaller(ErrorCode code, Verdict verdict, boolean broken) implements DispatchCommand {}

    /**
     * Cancels a run. If it is the run of the current attempt, the response is {@link DispatchEvent.Cancelled}.
     *
     * @param attempt the number of the last attempt of the run
     * @param upstream the upstream
     * @param upstreamRequestId the id of the run at the upstream
     */
    record CancelUpstream(int attempt, UpstreamName upstream, String upstreamRequestId) implements DispatchCommand {}

    /**
     * Reports a silent failure, so that {@link ConnectionHealth} can drop the pooled connections.
     *
     * @param upstream the upstream
     * @param sentMs when the silent attempt was sent
     */
    record ReportSilentFailure(UpstreamName upstream, long sentMs) implements DispatchCommand {}

    /** Ends the request and releases the rest of its reservation. Emitted exactly once, as the last command. */
    record Finish() implements DispatchCommand {}
}
