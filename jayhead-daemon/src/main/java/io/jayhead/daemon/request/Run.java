package io.jayhead.daemon.request;

import io.jayhead.admission.AdmissionEvent;
import io.jayhead.daemon.charge.ChargeResult;
import io.jayhead.daemon.upstream.AttemptOrder;
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
 * Runs the dispatch of one request: feeds its state machine with events, one at a time, and executes the commands.
 *
 * @param <S> the type of the state
 */
abstract class Run<S> {

    /** The request. */
    protected final AdmittedRequest request;

    /** What the request needs. */
    protected final Services services;

    private final BiFunction<S, DispatchEvent, Transition<S, DispatchCommand>> machine;
    private final ConcurrentLinkedQueue<DispatchEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final LongConsumer tick = nowMs -> postFromControl(new DispatchEvent.Tick(nowMs));
    private S state;
    private Call call;
    private Optional<UpstreamName> upstream = Optional.empty();
    private long chargedTokens;
    private boolean charged;

    Run(
            AdmittedRequest request,
            Services services,
            S initial,
            BiFunction<S, DispatchEvent, Transition<S, DispatchCommand>> machine) {
        this.request = request;
        this.services = services;
        this.state = initial;
        this.machine = machine;
    }

    /** Starts the first attempt; called on the control thread after routing. */
    final void begin(UpstreamName first) {
        services.ticker().add(tick);
        postFromControl(new DispatchEvent.Begin(first, services.clock().nowMs()));
    }

    /** Handles an event on the calling traffic thread, or on the one that is handling events already. */
    final void post(DispatchEvent event) {
        events.add(event);
        if (waiting.getAndIncrement() > 0) {
            return;
        }
        do {
            handle(events.poll());
        } while (waiting.decrementAndGet() > 0);
    }

    /** Handles an event on a traffic thread. */
    final void postFromControl(DispatchEvent event) {
        services.traffic().execute(() -> post(event));
    }

    /** Sends an attempt and returns its call. */
    abstract Call send(AttemptOrder order);

    /** Executes a command that concerns the answer to the caller. */
    abstract void answer(DispatchCommand command);

    /** Is called once when the run is over. */
    abstract void finished();

    /** Returns the tokens received from the upstream, for the routing estimate. */
    long receivedTokens() {
        return 0;
    }

    private void handle(DispatchEvent event) {
        Transition<S, DispatchCommand> transition = machine.apply(state, event);
        state = transition.state();
        transition.commands().forEach(this::execute);
    }

    private void execute(DispatchCommand command) {
        if (command instanceof DispatchCommand.Send send) {
            send(send);
        } else if (command instanceof DispatchCommand.ChooseUpstream choose) {
            services.control().execute(() -> choose(choose));
        } else if (command instanceof DispatchCommand.CountRetry) {
            post(new DispatchEvent.RetryDecided(
                    services.retries().allowRetry(), services.clock().nowMs()));
        } else if (command instanceof DispatchCommand.RefundPrompt refund) {
            toAdmission(new AdmissionEvent.PromptCounted(
                    request.id(), refund.tokens(), services.clock().nowMs()));
        } else if (command instanceof DispatchCommand.CommitCharge charge) {
            commit(charge);
        } else if (command instanceof DispatchCommand.CancelUpstream cancel) {
            cancel(cancel);
        } else if (command instanceof DispatchCommand.DropConnections drop) {
            services.control().execute(() -> services.routing().silentFailure(drop.upstream(), drop.sentMs()));
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
        upstream.filter(previous -> !previous.equals(send.upstream())).ifPresent(this::leave);
        upstream = Optional.of(send.upstream());
        Optional<AttemptOrder> order = order(
                send.attempt(),
                send.upstream(),
                send.upstreamRequestId(),
                send.resumeFromIndex(),
                send.freshConnection());
        services.decisions()
                .record(
                        "dispatch",
                        request.key().value(),
                        "attempt=%d upstream=%s resume_from=%d fresh_connection=%s",
                        send.attempt(),
                        send.upstream(),
                        send.resumeFromIndex(),
                        send.freshConnection());
        // A router that was suspended since routing must not send new work under an old configuration.
        boolean newRun = send.resumeFromIndex() == 0;
        if (order.isEmpty() || newRun && !services.configuration().isFresh()) {
            post(new DispatchEvent.ConnectFailed(send.attempt()));
            return;
        }
        call = send(order.get());
    }

    private Optional<AttemptOrder> order(
            int attempt, UpstreamName name, String runId, long resumeFromIndex, boolean freshConnection) {
        UpstreamSpec spec = services.configuration().view().spec().upstreams().get(name);
        if (spec == null) {
            return Optional.empty();
        }
        return Optional.of(new AttemptOrder(
                attempt,
                spec,
                request.upstreamRequestId(runId),
                services.self().incarnation(),
                request.priority(),
                resumeFromIndex,
                freshConnection));
    }

    private void choose(DispatchCommand.ChooseUpstream choose) {
        services.routing()
                .choose(request.key().value(), request.routing().retry(choose.excluded(), choose.preferred()))
                .fold(
                        refusal -> {
                            postFromControl(new DispatchEvent.NoUpstream());
                            return null;
                        },
                        decision -> {
                            postFromControl(new DispatchEvent.UpstreamChosen(
                                    decision.upstream(), services.clock().nowMs()));
                            return null;
                        });
    }

    private void commit(DispatchCommand.CommitCharge charge) {
        ChargeEntry entry = new ChargeEntry(
                request.key(),
                request.budget(),
                services.self().incarnation(),
                charge.promptTokens(),
                charge.outputTokens(),
                request.service().name().value());
        services.control()
                .execute(() -> services.charges().commit(entry, result -> {
                    services.decisions()
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
        Optional<AttemptOrder> order = order(cancel.attempt(), cancel.upstream(), cancel.upstreamRequestId(), 0, false);
        if (order.isEmpty()) {
            post(new DispatchEvent.Cancelled(cancel.attempt(), Optional.empty()));
            return;
        }
        services.engines().cancel(order.get(), this::post);
    }

    private void finish() {
        services.ticker().remove(tick);
        if (call != null) {
            call.cancel();
        }
        upstream.ifPresent(this::leave);
        services.control().execute(() -> {
            long nowMs = services.clock().nowMs();
            services.admission()
                    .handle(
                            charged
                                    ? new AdmissionEvent.RequestSettled(request.id(), chargedTokens, nowMs)
                                    : new AdmissionEvent.RequestReleased(request.id(), nowMs));
        });
        finished();
    }

    private void leave(UpstreamName left) {
        long tokens = receivedTokens();
        services.control()
                .execute(() -> services.routing().finished(left, request.key().value(), tokens));
    }

    private void toAdmission(AdmissionEvent event) {
        services.control().execute(() -> services.admission().handle(event));
    }
}
