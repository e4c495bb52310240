package io.jayhead.daemon.request;

import io.jayhead.admission.AdmissionEvent;
import io.jayhead.daemon.charge.ChargeResult;
import io.jayhead.daemon.upstream.AttemptRequest;
import io.jayhead.dispatch.DispatchCommand;
import io.jayhead.dispatch.DispatchEvent;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import io.jayhead.model.fleet.UpstreamSpec;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.LongConsumer;
import okhttp3.Call;

/**
 * Runs the dispatch of one request: passes events to its state machine, one at a time, and executes the commands that
 * it returns.
 *
 * @param <S> the state of the state machine
 */
abstract class DispatchRun<S> {

    /** The request to dispatch. */
    protected final ValidatedRequest request;

    /** The components that the run uses. */
    protected final RequestComponents components;

    private final BiFunction<S, DispatchEvent, Transition<S, DispatchCommand>> stateMachine;
    private final ConcurrentLinkedQueue<DispatchEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingEvents = new AtomicInteger();
    private final LongConsumer tick = nowMs -> postFromControl(new DispatchEvent.Tick(nowMs));
    private S state;
    private Call call;
    private Optional<UpstreamName> upstream = Optional.empty();
    private long chargedTokens;
    private boolean charged;

    DispatchRun(
            ValidatedRequest request,
            RequestComponents components,
            S initial,
            BiFunction<S, DispatchEvent, Transition<S, DispatchCommand>> stateMachine) {
        this.request = request;
        this.components = components;
        this.state = initial;
        this.stateMachine = stateMachine;
    }

    /** Starts the first attempt; called on the control thread after routing. */
    final void begin(UpstreamName first) {
        components.ticker().add(tick);
        postFromControl(new DispatchEvent.Admitted(first, components.clock().nowMs()));
    }

    /** Handles an event on the calling traffic thread, or queues it for the thread that is already handling events. */
    final void post(DispatchEvent event) {
        events.add(event);
        if (pendingEvents.getAndIncrement() > 0) {
            return;
        }
        do {
            handle(events.poll());
        } while (pendingEvents.decrementAndGet() > 0);
    }

    /** Handles an event on a traffic thread; may be called from the control thread. */
    final void postFromControl(DispatchEvent event) {
        components.traffic().execute(() -> post(event));
    }

    /** Sends an attempt and returns its call. */
    abstract Call send(AttemptRequest attempt);

    /** Executes a command that concerns the answer to the caller. */
    abstract void answer(DispatchCommand command);

    /** Called once when the run has ended. */
    abstract void finished();

    /** Returns the number of tokens received from upstreams, which routing uses for its estimates. */
    long receivedTokens() {
        return 0;
    }

    private void handle(DispatchEvent event) {
        Transition<S, DispatchCommand> transition = stateMachine.apply(state, event);
        state = transition.state();
        transition.commands().forEach(this::execute);
    }

    private void execute(DispatchCommand command) {
        if (command instanceof DispatchCommand.Send send) {
            send(send);
        } else if (command instanceof DispatchCommand.ChooseUpstream choose) {
            components.control().execute(() -> choose(choose));
        } else if (command instanceof DispatchCommand.RequestRetry) {
            post(new DispatchEvent.RetryDecided(
                    components.retries().allowRetry(), components.clock().nowMs()));
        } else if (command instanceof DispatchCommand.RefundPrompt refund) {
            toAdmission(new AdmissionEvent.PromptCounted(
                    request.id(), refund.tokens(), components.clock().nowMs()));
        } else if (command instanceof DispatchCommand.CommitCharge charge) {
            commit(charge);
        } else if (command instanceof DispatchCommand.CancelUpstream cancel) {
            cancel(cancel);
        } else if (command instanceof DispatchCommand.ReportSilentFailure failure) {
            components
                    .control()
                    .execute(() -> components.routing().recordSilentFailure(failure.upstream(), failure.sentMs()));
        } else if (command instanceof DispatchCommand.Finish) {
            finish();
        } else {
            answer(command);
        }
    }

    private void send(DispatchCommand.Send send) {
        if (call != null) {
            call.cancel();
        }
        upstream.filter(previous -> !previous.equals(send.upstream())).ifPresent(this::recordAttemptEnd);
        upstream = Optional.of(send.upstream());
        Optional<AttemptRequest> attempt = newAttempt(
                send.attempt(),
                send.upstream(),
                send.upstreamRequestId(),
                send.resumeFromIndex(),
                send.freshConnection());
        components
                .decisions()
                .record(
                        "dispatch",
                        request.key().value(),
                        "attempt=%d upstream=%s resume_from=%d fresh_connection=%s",
                        send.attempt(),
                        send.upstream(),
                        send.resumeFromIndex(),
                        send.freshConnection());
        // A router that was suspended after routing must not start a run under an outdated configuration.
        boolean newRun = send.resumeFromIndex() == 0;
        if (attempt.isEmpty() || newRun && !components.configuration().isFresh()) {
            post(new DispatchEvent.ConnectFailed(send.attempt()));
            return;
        }
        call = send(attempt.get());
    }

    private Optional<AttemptRequest> newAttempt(
            int number, UpstreamName name, String runId, long resumeFromIndex, boolean freshConnection) {
        UpstreamSpec spec = components.configuration().view().spec().upstreams().get(name);
        if (spec == null) {
            return Optional.empty();
        }
        return Optional.of(new AttemptRequest(
                number,
                spec,
                request.upstreamRequestId(runId),
                components.self().incarnation(),
                request.priority(),
                resumeFromIndex,
                freshConnection));
    }

    private void choose(DispatchCommand.ChooseUpstream choose) {
        components
                .routing()
                .choose(request.key().value(), request.routingRequest().retry(choose.excluded(), choose.preferred()))
                .fold(
                        refusal -> {
                            postFromControl(new DispatchEvent.NoUpstream());
                            return null;
                        },
                        decision -> {
                            postFromControl(new DispatchEvent.UpstreamChosen(
                                    decision.upstream(), components.clock().nowMs()));
                            return null;
                        });
    }

    private void commit(DispatchCommand.CommitCharge charge) {
        ChargeEntry entry = new ChargeEntry(
                request.key(),
                request.budget(),
                components.self().incarnation(),
                charge.promptTokens(),
                charge.outputTokens(),
                request.service().name().value());
        components
                .control()
                .execute(() -> components.charges().commit(entry, result -> {
                    components
                            .decisions()
                            .record(
                                    "settlement",
                                    request.key().value(),
                                    "charge=%s tokens=%d budget=%s",
                                    result,
                                    entry.tokens(),
                                    request.budget());
                    charged = true;
                    chargedTokens = result == ChargeResult.DUPLICATE ? 0 : entry.tokens();
                    postFromControl(
                            switch (result) {
                                case COMMITTED, DUPLICATE -> new DispatchEvent.Charged();
                                case HELD -> new DispatchEvent.ChargeHeld();
                                case FAILED -> new DispatchEvent.ChargeFailed();
                            });
                }));
    }

    private void cancel(DispatchCommand.CancelUpstream cancel) {
        Optional<AttemptRequest> attempt =
                newAttempt(cancel.attempt(), cancel.upstream(), cancel.upstreamRequestId(), 0, false);
        if (attempt.isEmpty()) {
            post(new DispatchEvent.Cancelled(cancel.attempt(), Optional.empty()));
            return;
        }
        components.engines().cancel(attempt.get(), this::post);
    }

    private void finish() {
        components.ticker().remove(tick);
        if (call != null) {
            call.cancel();
        }
        upstream.ifPresent(this::recordAttemptEnd);
        components.control().execute(() -> {
            long nowMs = components.clock().nowMs();
            components
                    .admission()
                    .handle(
                            charged
                                    ? new AdmissionEvent.RequestSettled(request.id(), chargedTokens, nowMs)
                                    : new AdmissionEvent.RequestReleased(request.id(), nowMs));
        });
        finished();
    }

    private void recordAttemptEnd(UpstreamName upstreamName) {
        long tokens = receivedTokens();
        components
                .control()
                .execute(() -> components
                        .routing()
                        .recordAttemptEnd(upstreamName, request.key().value(), tokens));
    }

    private void toAdmission(AdmissionEvent event) {
        components.control().execute(() -> components.admission().handle(event));
    }
}
