package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.UpstreamName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against generations that break a guarantee under an unusual order of events. Events of earlier attempts,
 * timeouts, retries and charges arrive in random order, from engines whose answers may differ.
 */
class GenerationAttemptsPropertyTest {

    private static final List<UpstreamName> ENGINES =
            List.of(UpstreamName.of("engine-a"), UpstreamName.of("engine-b"), UpstreamName.of("engine-c"));
    private static final int ANSWER_TOKENS = 6;
    private static final int OVERRUN_TOKENS = 10;
    private static final int ACTIONS = 19;

    /** Guards against lost, repeated or mixed tokens, false "not run" verdicts, and double or missing charges. */
    @Property(tries = 20_000)
    void keepsThePromisesUnderAnyOrderOfEvents(
            @ForAll @IntRange(max = ANSWER_TOKENS) int divergesAt,
            @ForAll boolean overruns,
            @ForAll @Size(max = 60) List<@IntRange(max = 1_000) Integer> script) {
        GenerationHarness harness = new GenerationHarness(Map.of(
                ENGINES.get(0), answer(ANSWER_TOKENS, ANSWER_TOKENS),
                ENGINES.get(1), answer(ANSWER_TOKENS, divergesAt),
                ENGINES.get(2), answer(overruns ? OVERRUN_TOKENS : ANSWER_TOKENS, ANSWER_TOKENS)));
        harness.handle(new DispatchEvent.Admitted(ENGINES.get(script.size() % ENGINES.size()), 0));
        boolean callerDisconnected = false;
        for (int step : script) {
            harness.nowMs += step % 7;
            DispatchEvent event = event(harness, step % ACTIONS, step / ACTIONS);
            callerDisconnected |= event instanceof DispatchEvent.CallerDisconnected;
            harness.handle(event);
        }
        finish(harness);
        assertEquals(GenerationState.Phase.CLOSED, harness.state.phase(), "request never ends");
        assertEquals(1, harness.count(DispatchCommand.Finish.class));
        boolean charged = harness.hasCommand(DispatchCommand.CommitCharge.class);
        assertTrue(charged || harness.delivered.isEmpty(), "delivered tokens not charged");
        long notifications =
                harness.count(DispatchCommand.DeliverEnd.class) + harness.count(DispatchCommand.FailCaller.class);
        assertEquals(
                callerDisconnected ? Math.min(notifications, 1) : 1,
                notifications,
                "caller notified " + notifications + " times");
    }

    private static DispatchEvent event(GenerationHarness harness, int action, int detail) {
        int current = harness.state.attemptNumber();
        int earlier = Math.max(0, current - 1 - detail % 2);
        return switch (action) {
            case 0, 1, 2, 3, 4 -> fromStream(harness, current);
            case 5, 6 -> fromStream(harness, earlier);
            case 7 -> repeatedToken(harness, detail % 3 == 0 ? earlier : current);
            case 8 -> new DispatchEvent.ConnectionBroken(detail % 3 == 0 ? earlier : current, true);
            case 9 -> brokenIfStarted(harness, new DispatchEvent.ConnectFailed(detail % 2 == 0 ? earlier : current));
            case 10 ->
                brokenIfStarted(
                        harness,
                        new DispatchEvent.Refused(detail % 2 == 0 ? earlier : current, 503, "overloaded", true));
            case 11 -> new DispatchEvent.Refused(current, 500, "", false);
            case 12 -> tick(harness, 6_000);
            case 13 -> tick(harness, 100);
            case 14 -> detail % 5 == 0 ? new DispatchEvent.CallerDisconnected() : response(harness, detail);
            case 15 -> new DispatchEvent.Cancelled(current, Optional.of(new Usage(detail % 30, detail % 20)));
            case 16 -> detail % 4 == 0 ? new DispatchEvent.ChargeFailed() : response(harness, detail);
            case 17 -> earlyEnd(harness, current);
            default -> response(harness, detail);
        };
    }

    private static DispatchEvent fromStream(GenerationHarness harness, int attempt) {
        return harness.stream(attempt)
                .map(stream -> stream.nextEvent(harness.nowMs))
                .orElse(new DispatchEvent.Tick(harness.nowMs));
    }

    /** Ends a stream early, as if its last tokens were lost in transit. */
    private static DispatchEvent earlyEnd(GenerationHarness harness, int attempt) {
        harness.stream(attempt).ifPresent(stream -> stream.next = stream.answer.size());
        return fromStream(harness, attempt);
    }

    private static DispatchEvent repeatedToken(GenerationHarness harness, int attempt) {
        harness.stream(attempt).filter(stream -> stream.next > 0).ifPresent(stream -> stream.next--);
        return fromStream(harness, attempt);
    }

    /**
     * Replaces a proof that the attempt did not run by a broken connection if the engine has sent output; after output,
     * an engine gives no such proof.
     */
    private static DispatchEvent brokenIfStarted(GenerationHarness harness, DispatchEvent.AttemptEvent event) {
        boolean started =
                harness.stream(event.attempt()).map(stream -> stream.started).orElse(true);
        return started ? new DispatchEvent.ConnectionBroken(event.attempt(), true) : event;
    }

    private static DispatchEvent tick(GenerationHarness harness, long elapsedMs) {
        harness.nowMs += elapsedMs;
        return new DispatchEvent.Tick(harness.nowMs);
    }

    private static DispatchEvent response(GenerationHarness harness, int detail) {
        return switch (harness.state.phase()) {
            case AWAITING_RETRY -> new DispatchEvent.RetryDecided(detail % 6 != 0, harness.nowMs);
            case CHOOSING ->
                detail % 5 == 0
                        ? new DispatchEvent.NoUpstream()
                        : new DispatchEvent.UpstreamChosen(ENGINES.get(detail % ENGINES.size()), harness.nowMs);
            case CHARGING, SETTLING -> detail % 2 == 0 ? new DispatchEvent.Charged() : new DispatchEvent.ChargeHeld();
            case STOPPING -> new DispatchEvent.Cancelled(harness.state.attemptNumber(), Optional.empty());
            default -> fromStream(harness, harness.state.attemptNumber());
        };
    }

    private static void finish(GenerationHarness harness) {
        for (int i = 1; i < 200 && harness.state.phase() != GenerationState.Phase.CLOSED; i++) {
            harness.handle(response(harness, i));
        }
    }

    private static List<String> answer(int tokens, int divergesAt) {
        List<String> answer = new ArrayList<>();
        for (int i = 0; i < tokens; i++) {
            answer.add(i >= divergesAt ? "other" + i : "t" + i);
        }
        return answer;
    }
}
