package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.AttemptOutcome;
import io.jayhead.dispatch.forward.ForwardDecision;
import io.jayhead.dispatch.forward.ForwardRules;
import io.jayhead.dispatch.forward.ForwardState;
import io.jayhead.gateway.budget.ReservationResult;
import io.jayhead.gateway.control.RoutingSnapshot;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.upstream.UpstreamConnection;
import io.jayhead.gateway.upstream.UpstreamHandle;
import io.jayhead.gateway.wire.CallerFacts;
import io.jayhead.gateway.wire.ForwardFacts;
import io.jayhead.gateway.wire.GenerationSize;
import io.jayhead.gateway.wire.PromptPart;
import io.jayhead.routing.catalog.Organisation;
import io.jayhead.routing.catalog.Route;
import io.jayhead.routing.catalog.RouteKind;
import io.jayhead.routing.catalog.ServiceProfile;
import io.jayhead.routing.placement.Candidate;
import io.jayhead.routing.placement.Placement;
import io.jayhead.routing.placement.PlacementRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One request of a caller, from its arrival to its settlement; used by the traffic thread. */
public final class Exchange {

    /** Callers that do not say how long they wait get this time. */
    private static final long DEFAULT_DEADLINE_MS = 15_000;
    /** The ledger answers in a few milliseconds; a longer wait costs the time that the request needs. */
    private static final long LEDGER_WAIT_MS = 450;
    /** An answer that comes this shortly before the deadline does not reach the caller. */
    private static final long ANSWER_MARGIN_MS = 20;
    /** Services answer within tens of milliseconds; a silent one has probably failed. */
    private static final long SILENT_CALL_MS = 250;
    /** Engines emit events every few milliseconds, so a longer pause means that a stream is stuck. */
    private static final long SILENT_STREAM_MS = 900;
    /** The first event waits for the prefill of other prompts. */
    private static final long SILENT_FIRST_EVENT_MS = 2_500;
    /** The router takes at most this share of the connections that an upstream accepts from all routers. */
    private static final int CONNECTION_SHARE = 4;

    private static final int MIN_CONNECTIONS = 4;
    private static final int MAX_PRIORITY = 9;

    private final GatewayContext context;
    private final CallerChannel caller;
    private final FullHttpRequest request;
    private final CallerFacts facts;
    private final long startNs = System.nanoTime();
    private final StreamRelay relay;
    private final Set<String> tried = new HashSet<>();
    private final int salt = ThreadLocalRandom.current().nextInt();
    private Route route;
    private Optional<Organisation> organisation = Optional.empty();
    private ServiceProfile service;
    private long deadlineNs;
    private long reservedTokens;
    private AttemptRun attempt;
    private int tries;
    private int mayHaveRun;
    private boolean answerStarted;
    private boolean ended;
    private boolean callerGone;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> silenceTimer;

    /**
     * Creates an exchange.
     *
     * @param context what exchanges share
     * @param caller the caller
     * @param request the whole request; its body is released when the exchange ends
     */
    public Exchange(GatewayContext context, CallerChannel caller, FullHttpRequest request) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.facts = context.dialect().readCaller(request.headers());
        this.relay = new StreamRelay(caller);
    }

    /** Admits the request and sends it to an upstream, or refuses it. */
    public void start() {
        context.drain().opened();
        RoutingSnapshot snapshot = context.snapshot().get();
        if (context.drain().isRefusing()) {
            refuse(Refusal.STOPPING);
            return;
        }
        if (!snapshot.isComplete()) {
            refuse(Refusal.NOT_CONFIGURED);
            return;
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> found = snapshot.catalog().route(host, request.uri());
        if (found.isEmpty()) {
            refuse(Refusal.NO_ROUTE);
            return;
        }
        route = found.get();
        if (route.kind().isStreaming() && context.drain().isRefusingStreams()) {
            refuse(Refusal.STOPPING);
            return;
        }
        if (!route.open() && snapshot.catalog().hasOrganisations()) {
            organisation = snapshot.catalog().organisationOf(facts.key().orElse(null));
            if (organisation.isEmpty()) {
                refuse(Refusal.UNKNOWN_KEY);
                return;
            }
        }
        if (facts.requestId().isEmpty()) {
            refuse(Refusal.MALFORMED);
            return;
        }
        service = snapshot.catalog().service(route.serviceFor(facts.requestId().hashCode()));
        context.retries().request(service.name());
        startTimers();
        reserve();
    }

    private void startTimers() {
        long deadlineMs = facts.deadlineMs().orElse(DEFAULT_DEADLINE_MS);
        long limitMs = route.timeoutMs() > 0 ? Math.min(deadlineMs, route.timeoutMs()) : deadlineMs;
        deadlineNs = startNs + limitMs * 1_000_000;
        long timerMs = Math.max(1, limitMs - ANSWER_MARGIN_MS);
        deadlineTimer = context.loop().schedule(this::deadlinePassed, timerMs, TimeUnit.MILLISECONDS);
    }

    private void reserve() {
        Optional<GenerationSize> size = facts.size();
        boolean limited =
                organisation.isPresent() && organisation.get().prepaidTokens().isPresent();
        if (size.isEmpty() || !limited) {
            dispatch();
            return;
        }
        long tokens = size.get().maxTokens();
        context.budgets()
                .reserve(
                        organisation.get().name(),
                        organisation.get().prepaidTokens().getAsLong(),
                        tokens,
                        LEDGER_WAIT_MS,
                        result -> reserved(result, tokens));
    }

    private void reserved(ReservationResult result, long tokens) {
        if (result == ReservationResult.RESERVED) {
            reservedTokens = tokens;
        }
        if (ended) {
            settle(0);
            return;
        }
        switch (result) {
            case RESERVED -> dispatch();
            case EXHAUSTED -> refuse(Refusal.BUDGET_EXHAUSTED);
            case UNAVAILABLE -> refuse(Refusal.BUDGET_UNAVAILABLE);
            default -> throw new IllegalStateException("unknown result " + result);
        }
    }

    private void dispatch() {
        RoutingSnapshot snapshot = context.snapshot().get();
        List<Candidate> candidates = context.upstreams().candidates(snapshot.registry(), service.name());
        Optional<Candidate> chosen = Placement.choose(candidates, placementRequest());
        if (chosen.isEmpty()) {
            noUpstreamLeft();
            return;
        }
        UpstreamHandle upstream = context.upstreams().handle(chosen.get().upstream());
        tried.add(upstream.upstream().incarnation());
        tries++;
        long promptTokens = facts.size().map(GenerationSize::promptTokens).orElse(0);
        attempt = new AttemptRun(this, upstream, promptTokens);
        attempt.start(maxConnections());
    }

    private void noUpstreamLeft() {
        if (answerStarted) {
            breakOff("no upstream left");
        } else if (mayHaveRun > 0) {
            refuse(Refusal.OUTCOME_UNKNOWN);
        } else {
            refuse(Refusal.NO_UPSTREAM);
        }
    }

    private PlacementRequest placementRequest() {
        List<PromptPart> shared = facts.sharedParts();
        String key = shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
        int sharedTokens = shared.stream().mapToInt(PromptPart::tokens).sum();
        int promptTokens = facts.size().map(GenerationSize::promptTokens).orElse(0);
        return new PlacementRequest(facts.size().isPresent(), promptTokens, sharedTokens, key, tried, salt);
    }

    private int maxConnections() {
        return service.maxConnections() == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CONNECTIONS, service.maxConnections() / CONNECTION_SHARE);
    }

    void send(AttemptRun run, UpstreamConnection connection) {
        FullHttpRequest forward = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.content().retainedDuplicate()));
        boolean resumes = relay.events() > 0;
        ForwardFacts forwardFacts = new ForwardFacts(
                run.upstream().upstream().id(),
                Math.max(1, leftMs()),
                organisation.map(Organisation::name),
                facts.size().isPresent() ? OptionalInt.of(enginePriority()) : OptionalInt.empty(),
                resumes ? Optional.of(relay.lastId()) : Optional.empty());
        context.dialect().writeForward(request.headers(), forwardFacts, forward.headers());
        if (forward.content().isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forward.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, forward.content().readableBytes());
        }
        mayHaveRun++;
        relay.restart();
        connection.send(forward, facts.requestId(), run);
        watchSilence(run);
    }

    private int enginePriority() {
        int rank = organisation
                .map(Organisation::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
        return Math.max(0, Math.min(MAX_PRIORITY, rank));
    }

    private void watchSilence(AttemptRun run) {
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        long limitMs = silenceLimitMs();
        silenceTimer = context.loop().schedule(() -> checkSilence(run), limitMs, TimeUnit.MILLISECONDS);
    }

    private long silenceLimitMs() {
        if (!isStreaming()) {
            return SILENT_CALL_MS;
        }
        return relay.events() > 0 ? SILENT_STREAM_MS : SILENT_FIRST_EVENT_MS;
    }

    private void checkSilence(AttemptRun run) {
        if (ended || run != attempt) {
            return;
        }
        long silentMs = run.silentMs(System.nanoTime());
        long limitMs = silenceLimitMs();
        if (silentMs < limitMs) {
            silenceTimer = context.loop()
                    .schedule(() -> checkSilence(run), Math.max(5, limitMs - silentMs), TimeUnit.MILLISECONDS);
            return;
        }
        if (forwardDecision(AttemptOutcome.UNKNOWN) == ForwardDecision.TRY_ANOTHER) {
            run.abandon();
        } else {
            run.upstream().broke();
        }
    }

    boolean isStreaming() {
        return route.kind().isStreaming();
    }

    boolean isEnded() {
        return ended;
    }

    void streamBytes(AttemptRun run, byte[] bytes) {
        if (ended) {
            return;
        }
        startStream(run);
        relay.add(bytes);
        if (!caller.channel().isWritable()) {
            run.setReading(false);
        }
    }

    private void startStream(AttemptRun run) {
        if (answerStarted) {
            return;
        }
        answerStarted = true;
        run.upstream().answered((System.nanoTime() - startNs) / 1e6);
        HttpHeaders headers = new DefaultHttpHeaders();
        context.dialect().copyAnswer(run.head().headers(), headers);
        caller.startStream(run.head().status(), headers);
        context.metrics().firstByte(route.name(), (System.nanoTime() - startNs) / 1e9);
    }

    /** Continues to read the answer when the caller has taken what was written. */
    public void writabilityChanged() {
        if (attempt != null && caller.channel().isWritable()) {
            attempt.setReading(true);
        }
    }

    void answered(AttemptRun run, byte[] body) {
        if (ended) {
            return;
        }
        if (isStreaming() && run.head().status().code() < 300) {
            startStream(run);
            relay.end();
        } else {
            passOn(run, body);
        }
        end("served", consumedTokens(), run);
    }

    private void passOn(AttemptRun run, byte[] body) {
        answerStarted = run.head().status().code() < 300;
        HttpHeaders headers = new DefaultHttpHeaders();
        context.dialect().copyAnswer(run.head().headers(), headers);
        caller.answer(run.head().status(), headers, body);
        context.metrics().firstByte(route.name(), (System.nanoTime() - startNs) / 1e9);
    }

    void attemptEnded(AttemptRun run, AttemptOutcome outcome, String reason) {
        if (run.isSent() && outcome.isNotRun()) {
            mayHaveRun--;
        }
        context.metrics().attemptFailed(outcome.name());
        if (ended) {
            return;
        }
        ForwardDecision decision = forwardDecision(outcome);
        context.log()
                .write(
                        LogKind.ATTEMPT,
                        "attempt ended",
                        "request_id",
                        facts.requestId(),
                        "upstream",
                        run.upstream().upstream().incarnation(),
                        "outcome",
                        outcome,
                        "reason",
                        reason,
                        "decision",
                        decision,
                        "tries",
                        tries,
                        "left_ms",
                        leftMs());
        switch (decision) {
            case TRY_ANOTHER -> tryAnother(run);
            case ANSWER_NOT_RUN ->
                refuse(outcome == AttemptOutcome.REJECTED ? Refusal.OVERLOADED : Refusal.NO_UPSTREAM);
            case PASS_FAILURE -> passFailure(run);
            case ANSWER_UNKNOWN -> refuse(Refusal.OUTCOME_UNKNOWN);
            case BREAK_OFF -> breakOff(reason);
            default -> throw new IllegalStateException("unknown decision " + decision);
        }
    }

    private ForwardDecision forwardDecision(AttemptOutcome outcome) {
        ForwardState state = new ForwardState(
                route.mayRunAgain(),
                route.maxAttempts(),
                mayHaveRun,
                tries,
                answerStarted,
                route.resumable() && !relay.lastId().isEmpty(),
                context.retries().allowsRetry(service.name()),
                callerGone ? 0 : leftMs());
        return ForwardRules.decide(state, outcome);
    }

    private void tryAnother(AttemptRun run) {
        if (run.isSent()) {
            context.retries().retry(service.name());
        }
        dispatch();
    }

    /** A status that promises that a request has not run is passed on only with the upstream's proof. */
    private void passFailure(AttemptRun run) {
        int code = run.head().status().code();
        if (code == 503) {
            refuse(Refusal.OUTCOME_UNKNOWN);
            return;
        }
        passOn(run, run.bufferedBody());
        end("upstream failure " + code, consumedTokens(), run);
    }

    private void breakOff(String reason) {
        caller.breakOff();
        end("broken off: " + reason, consumedTokens(), attempt);
    }

    private void refuse(Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (refusal.retryAfterMs() > 0) {
            double seconds =
                    refusal.retryAfterMs() * (0.75 + ThreadLocalRandom.current().nextDouble(0.5)) / 1_000;
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
        }
        caller.answer(refusal.status(), headers, new byte[0]);
        end(refusal.name(), consumedTokens(), attempt);
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        AttemptRun last = attempt;
        if (last != null) {
            last.abort();
        }
        if (answerStarted) {
            breakOff("time limit");
        } else if (mayHaveRun > 0) {
            refuse(Refusal.TIMED_OUT);
        } else {
            refuse(Refusal.NO_UPSTREAM);
        }
    }

    /** Ends the request because its caller has left; a booking that was sent goes on. */
    public void callerClosed() {
        if (ended) {
            return;
        }
        callerGone = true;
        boolean mayStop = route == null || route.kind() != RouteKind.AT_MOST_ONCE || mayHaveRun == 0;
        if (attempt != null && mayStop) {
            attempt.abort();
        }
        end("caller closed", consumedTokens(), attempt);
    }

    /** A generation of which the caller received nothing is not billed. */
    private long consumedTokens() {
        if (facts.size().isEmpty() || !answerStarted) {
            return 0;
        }
        GenerationSize size = facts.size().get();
        int perEvent = service.tokensPerEvent();
        if (perEvent == 0) {
            return size.maxTokens();
        }
        long output = Math.min(size.maxOutputTokens(), (long) perEvent * relay.events());
        return size.promptTokens() + output;
    }

    private void settle(long consumedTokens) {
        if (reservedTokens > 0) {
            context.budgets().settle(organisation.get().name(), reservedTokens, consumedTokens);
            reservedTokens = 0;
        }
    }

    private void end(String outcome, long consumedTokens, AttemptRun last) {
        ended = true;
        context.drain().closed();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        settle(consumedTokens);
        request.release();
        String routeName = route == null ? "none" : route.name();
        boolean served = outcome.equals("served");
        context.metrics().answered(routeName, outcome);
        context.log()
                .write(
                        served ? LogKind.SERVED : LogKind.FAILED,
                        outcome,
                        "request_id",
                        facts.requestId(),
                        "route",
                        routeName,
                        "organisation",
                        organisation.map(Organisation::name).orElse(""),
                        "catalog_version",
                        context.snapshot().get().catalog().version(),
                        "upstream",
                        last == null ? "" : last.upstream().upstream().incarnation(),
                        "tries",
                        tries,
                        "may_have_run",
                        mayHaveRun,
                        "events",
                        relay.events(),
                        "consumed_tokens",
                        consumedTokens,
                        "elapsed_ms",
                        (System.nanoTime() - startNs) / 1_000_000);
    }

    private long leftMs() {
        return (deadlineNs - System.nanoTime()) / 1_000_000;
    }
}
