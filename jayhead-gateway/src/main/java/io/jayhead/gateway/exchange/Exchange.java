package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.AttemptOutcome;
import io.jayhead.dispatch.forward.ForwardDecision;
import io.jayhead.gateway.budget.ReservationResult;
import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.upstream.UpstreamConnection;
import io.jayhead.gateway.wire.CallerMetadata;
import io.jayhead.model.Either;
import io.jayhead.model.NotRunStatus;
import io.jayhead.routing.catalog.RouteKind;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;

/** Handles one request of a caller from its arrival to its settlement; used by the traffic thread. */
public final class Exchange {

    private final GatewayContext context;
    private final CallerChannel caller;
    private final FullHttpRequest request;
    private final RequestBody body;
    private final CallerMetadata metadata;
    private final long startNs = System.nanoTime();
    private final AnswerDelivery delivery;
    private final StreamRelay relay;
    private final ExchangeRecorder recorder;
    private final SilenceWatch silence;
    private final UnreadStream unread = new UnreadStream();
    private final AttemptCount attempts = new AttemptCount();
    private final PromptPass prompt;
    private AdmittedRequest admitted;
    private ForwardedRequest forwarded;
    private UpstreamSelector selector;
    private TokenReservation reservation;
    private GatePass pass;
    private ExchangeDeadline deadline;
    private UpstreamAttempt currentAttempt;
    private boolean ended;
    private boolean callerGone;
    private RunWithoutCaller runWithoutCaller = RunWithoutCaller.none();

    /**
     * Creates an exchange.
     *
     * @param context the objects that all exchanges of the router share
     * @param caller writes the answer
     * @param request the complete request; released when no upstream can need it any more
     */
    public Exchange(GatewayContext context, CallerChannel caller, FullHttpRequest request) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.body = new RequestBody(request);
        this.metadata = context.dialect().readCaller(request.headers());
        this.prompt = new PromptPass(context.promptGuard(), context.snapshot(), metadata);
        this.relay = new StreamRelay(caller);
        this.silence = new SilenceWatch(context.loop(), this::silenceLimitMs, this::silent);
        this.recorder = new ExchangeRecorder(context, metadata, startNs);
        this.delivery = new AnswerDelivery(new AnswerWriter(context, caller), recorder);
        context.drain().opened();
    }

    /** Admits the request, reserves its tokens and sends it to an upstream, or refuses it; nothing if it has ended. */
    public void start() {
        if (ended) {
            return;
        }
        RoutingSnapshot snapshot = context.snapshot().get();
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Either<Refusal, AdmittedRequest> decision =
                RequestAdmission.admit(metadata, host, request.uri(), snapshot, context.drain(), context.answerTimes());
        if (!decision.isRight()) {
            refuse(decision.getLeft());
            return;
        }
        admitted = decision.get();
        prompt.enter(this::promptAllowed, () -> refuse(Refusal.PROMPT_BLOCKED));
    }

    private void promptAllowed() {
        context.retries().recordRequest(admitted.service().name());
        forwarded = new ForwardedRequest(context.dialect(), request, admitted);
        selector = new UpstreamSelector(context, admitted, forwarded, prompt);
        Runnable onDeadline = () -> giveUp("time limit", Refusal.TIMED_OUT, Refusal.NO_UPSTREAM);
        deadline = new ExchangeDeadline(context.loop(), startNs, admitted.limitMs(), onDeadline);
        reservation = new TokenReservation(context.budgets(), admitted);
        reservation.reserve(this::reserved);
    }

    private void reserved(ReservationResult result) {
        if (ended) {
            reservation.settle(0);
            return;
        }
        switch (result) {
            case RESERVED -> {
                pass = new GatePass(context.gates(), admitted, deadline.leftMs());
                pass.enter(this::dispatch, () -> refuse(Refusal.OVER_LIMIT));
            }
            case EXHAUSTED -> refuse(Refusal.BUDGET_EXHAUSTED);
            case UNAVAILABLE -> refuse(Refusal.BUDGET_UNAVAILABLE);
            default -> throw new IllegalStateException("unknown result " + result);
        }
    }

    private void dispatch() {
        Either<Refusal, SelectedUpstream> selected = selector.select();
        if (!selected.isRight()) {
            giveUp("not sent again: " + selected.getLeft(), Refusal.OUTCOME_UNKNOWN, selected.getLeft());
            return;
        }
        attempts.chosen();
        SelectedUpstream upstream = selected.get();
        currentAttempt = new UpstreamAttempt(this, metadata.requestId(), upstream);
        currentAttempt.start(forwarded.maxConnections());
    }

    UpstreamFilter filter() {
        return context.filter();
    }

    void send(UpstreamAttempt attempt, UpstreamConnection connection) {
        Optional<String> resumeAfter = relay.events() > 0 ? Optional.of(relay.lastId()) : Optional.empty();
        FullHttpRequest message = forwarded.build(attempt.upstream().upstream().id(), deadline.leftMs(), resumeAfter);
        attempts.sent();
        prompt.sent();
        relay.restart();
        unread.restart();
        connection.send(message, metadata.requestId(), attempt);
        silence.start();
    }

    private long silenceLimitMs() {
        return context.answerTimes().silenceLimitMs(admitted.route(), relay.events());
    }

    private void silent() {
        if (ended) {
            return;
        }
        boolean callerReads = caller.channel().isWritable();
        if (callerReads && mayTryAnother()) {
            currentAttempt.giveUp("no answer in time");
        } else if (!callerReads && mayTryAnother() && unread.isDue(admitted.route())) {
            suspend();
        } else {
            currentAttempt.reportSilence(callerReads);
            silence.start();
        }
    }

    private boolean mayTryAnother() {
        return forwardDecision(AttemptOutcome.UNKNOWN) == ForwardDecision.TRY_ANOTHER;
    }

    /** Tells whether the upstream of a stream may have cut it off because its caller did not read. */
    boolean mayHaveBeenCutOff() {
        return unread.longestHeldMs() >= silenceLimitMs();
    }

    /** Waits with the rest of a stream until its caller reads again. */
    private void suspend() {
        silence.stop();
        currentAttempt.abort();
        pass.leave();
        unread.suspend();
        recorder.suspended(currentAttempt, unread.heldMs(), relay.events());
    }

    boolean isStreaming() {
        return admitted.isStreaming();
    }

    /** Records the time from sending the request to its answer, or to the first event of its stream. */
    void recordAnswerTime(double answerMs) {
        context.answerTimes().record(admitted.route().name(), answerMs);
        pass.answered(answerMs);
    }

    PromptPass prompt() {
        return prompt;
    }

    AnswerBody newBody() {
        return new AnswerBody(caller.memory(), context.memory().maxAnswerBytes());
    }

    boolean isEnded() {
        return ended;
    }

    /** Gives up holdings if an answer has made the process hold too much; the exchange may have ended afterwards. */
    void shedIfExceeded() {
        caller.memory().shedIfExceeded();
    }

    void streamBytes(UpstreamAttempt attempt, byte[] bytes) {
        if (ended) {
            return;
        }
        startStream(attempt);
        if (relay.add(bytes)) {
            silence.progressed();
        }
        Optional<String> fault = relay.fault();
        if (fault.isPresent()) {
            attempt.giveUp(fault.get());
            return;
        }
        if (!caller.channel().isWritable()) {
            unread.hold();
            attempt.setReading(false);
        }
    }

    StreamRelay relay() {
        return relay;
    }

    /** Tells whether the caller has received the head of an answer, which another answer cannot replace. */
    boolean hasAnswerStarted() {
        return delivery.hasStarted();
    }

    private void startStream(UpstreamAttempt attempt) {
        delivery.startStream(attempt, admitted);
        if (!admitted.route().resumable()) {
            body.release();
        }
    }

    /** Resumes reading the answer of the upstream when the connection of the caller can take more bytes. */
    public void writabilityChanged() {
        if (ended || currentAttempt == null || !caller.channel().isWritable()) {
            return;
        }
        boolean wasSuspended = unread.isSuspended();
        unread.release();
        if (!wasSuspended) {
            currentAttempt.setReading(true);
        } else if (mayTryAnother()) {
            tryAnother(currentAttempt);
        } else {
            breakOff("unread for too long");
        }
    }

    void answered(UpstreamAttempt attempt, AnswerBody body) {
        if (ended) {
            runWithoutCaller.end();
            return;
        }
        if (isStreaming() && attempt.isSuccess()) {
            startStream(attempt);
            relay.end();
        } else {
            delivery.passOn(attempt, body, admitted);
        }
        end(ExchangeRecorder.SERVED, attempt);
    }

    void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome, String reason) {
        if (attempt.isSent() && outcome.isNotRun()) {
            attempts.notRun();
        }
        if (ended) {
            runWithoutCaller.end();
            return;
        }
        ForwardDecision decision = forwardDecision(outcome);
        recorder.attemptEnded(attempt, outcome, reason, decision, deadline.leftMs());
        switch (decision) {
            case TRY_ANOTHER -> tryAnother(attempt);
            case ANSWER_NOT_RUN ->
                refuse(outcome == AttemptOutcome.REJECTED ? Refusal.OVERLOADED : Refusal.NO_UPSTREAM);
            case PASS_FAILURE -> passFailure(attempt);
            case ANSWER_UNKNOWN -> refuse(Refusal.OUTCOME_UNKNOWN);
            case BREAK_OFF -> breakOff(reason);
            default -> throw new IllegalStateException("unknown decision " + decision);
        }
    }

    private ForwardDecision forwardDecision(AttemptOutcome outcome) {
        boolean retryAllowed = context.retries().allowsRetry(admitted.service().name());
        long leftMs = callerGone ? 0 : deadline.leftMs();
        boolean hasEventId = !relay.lastId().isEmpty();
        return attempts.decide(admitted.route(), delivery.hasStarted(), hasEventId, retryAllowed, leftMs, outcome);
    }

    private void tryAnother(UpstreamAttempt attempt) {
        if (delivery.hasStarted() && unread.isHeld()) {
            suspend();
            return;
        }
        silence.stop();
        if (attempt.isSent()) {
            context.retries().recordRetry(admitted.service().name());
        }
        dispatch();
    }

    /**
     * Passes a failure of the upstream on to the caller. If its status tells callers that the request has not run, of
     * which the upstream gave no proof, the caller is told instead that the outcome is unknown.
     */
    private void passFailure(UpstreamAttempt attempt) {
        if (NotRunStatus.matches(attempt.statusCode())) {
            refuse(Refusal.OUTCOME_UNKNOWN);
            return;
        }
        delivery.passOn(attempt, attempt.body(), admitted);
        end("upstream failure " + attempt.statusCode(), attempt);
    }

    private void breakOff(String reason) {
        caller.abort();
        end("broken off: " + reason, currentAttempt);
    }

    private void refuse(Refusal refusal) {
        delivery.refuse(refusal, RefusalDelay.retryAfterMs(refusal, context, admitted, prompt, pass));
        end(refusal.name(), currentAttempt);
    }

    /** Ends the request because the router stops, with a final answer unless its stream has begun. */
    public void stop() {
        giveUp("planned stop", Refusal.OUTCOME_UNKNOWN, Refusal.STOPPING);
    }

    /** Ends the request because its connection holds too much of the memory. */
    public void shed() {
        giveUp("memory", Refusal.OUTCOME_UNKNOWN, Refusal.MEMORY_EXHAUSTED);
    }

    private void giveUp(String reason, Refusal ifMayHaveRun, Refusal ifNotRun) {
        if (ended) {
            return;
        }
        if (currentAttempt != null) {
            currentAttempt.abort();
        }
        if (delivery.hasStarted()) {
            breakOff(reason);
        } else {
            refuse(attempts.mayHaveRun() ? ifMayHaveRun : ifNotRun);
        }
    }

    /**
     * Ends the request because the caller has closed the connection. Attempts are aborted, except for at-most-once
     * requests such as bookings that were already sent.
     */
    public void callerClosed() {
        if (ended) {
            return;
        }
        callerGone = true;
        boolean mayStop =
                admitted == null || admitted.route().kind() != RouteKind.AT_MOST_ONCE || !attempts.mayHaveRun();
        if (currentAttempt != null && mayStop) {
            currentAttempt.abort();
        }
        end("caller closed", currentAttempt);
        if (!mayStop) {
            runWithoutCaller = RunWithoutCaller.of(context, currentAttempt, deadline.leftMs());
        }
    }

    private void end(String outcome, UpstreamAttempt lastAttempt) {
        ended = true;
        prompt.end();
        context.drain().closed();
        if (deadline != null) {
            deadline.cancel();
        }
        silence.stop();
        if (pass != null) {
            pass.leave();
        }
        long consumedTokens = reservation == null ? 0 : reservation.settleAnswer(delivery.hasStarted(), relay.events());
        body.release();
        recorder.ended(
                outcome, Optional.ofNullable(admitted), lastAttempt, attempts.with(relay.events(), consumedTokens));
    }
}
