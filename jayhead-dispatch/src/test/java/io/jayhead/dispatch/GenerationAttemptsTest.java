package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.UpstreamName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class GenerationAttemptsTest {

    private static final UpstreamName ENGINE_A = UpstreamName.of("engine-a");
    private static final UpstreamName ENGINE_B = UpstreamName.of("engine-b");
    private static final List<String> ANSWER = List.of("t0", "t1", "t2");

    private final GenerationHarness harness =
            new GenerationHarness(Map.of(ENGINE_A, ANSWER, ENGINE_B, List.of("t0", "x1", "x2")));

    /** Guards against a rerun or a pooled connection after a silent stream. */
    @Test
    void resumesASilentStreamOnTheSameUpstreamOverAFreshConnection() {
        receive(1, 3);
        harness.handle(new DispatchEvent.Tick(10_000));
        harness.handle(new DispatchEvent.RetryDecided(true, 10_000));
        assertTrue(harness.commands.contains(new DispatchCommand.DropConnections(ENGINE_A, 0)));
        assertEquals(new DispatchCommand.Send(2, ENGINE_A, harness.state.upstreamRequestId(), 2, true), last());
        assertTrue(harness.state.upstreamRequestId().endsWith("-1"));
    }

    /** Guards against an answer that is pieced together from two different runs. */
    @Test
    void breaksTheStreamWhenARerunGivesOtherTokens() {
        receive(1, 3);
        breakAndRetry(1);
        breakAndRetry(2);
        harness.handle(new DispatchEvent.UpstreamChosen(ENGINE_B, 0));
        next(3, 3);
        assertEquals(List.of("t0", "t1"), harness.delivered);
        assertEquals(1, harness.count(DispatchCommand.FailCaller.class));
        harness.handle(new DispatchEvent.Cancelled(3, Optional.empty()));
        assertEquals(new DispatchCommand.CommitCharge(12, 2), last());
    }

    /** Guards against tokens, ends and refusals of an abandoned attempt that arrive while another one runs. */
    @Test
    void ignoresEventsOfOlderAttempts() {
        receive(1, 3);
        breakAndRetry(1);
        breakAndRetry(2);
        harness.handle(new DispatchEvent.UpstreamChosen(ENGINE_B, 0));
        GenerationState running = harness.state;
        int commands = harness.commands.size();
        for (int attempt = 1; attempt <= 2; attempt++) {
            harness.handle(new DispatchEvent.TokenReceived(attempt, 0, "t0", 0));
            harness.handle(new DispatchEvent.Done(attempt, 12, 0));
            harness.handle(new DispatchEvent.Refused(attempt, 503, "draining", true));
            harness.handle(new DispatchEvent.ConnectionBroken(attempt, true));
        }
        assertSame(running, harness.state);
        assertEquals(commands, harness.commands.size());
    }

    /** Guards against work that goes on and stays unpaid after the caller left. */
    @Test
    void cancelsAndChargesWhatRanWhenTheCallerIsGone() {
        receive(1, 2);
        harness.handle(new DispatchEvent.CallerGone());
        assertEquals(new DispatchCommand.CancelUpstream(1, ENGINE_A, harness.state.upstreamRequestId()), last());
        harness.handle(new DispatchEvent.Cancelled(1, Optional.of(new Usage(12, 3))));
        assertEquals(new DispatchCommand.CommitCharge(12, 3), last());
    }

    /** Guards against a stream that never ends when the cancelled engine does not answer. */
    @Test
    void chargesWhatWasReceivedWhenACancelledUpstreamStaysSilent() {
        receive(1, 2);
        harness.handle(new DispatchEvent.CallerGone());
        harness.handle(new DispatchEvent.Tick(1_001));
        assertEquals(new DispatchCommand.CommitCharge(12, 1), last());
    }

    /** Guards against "not run" verdicts that a second, refused attempt makes look proven. */
    @Test
    void keepsTheDoubtOfTheFirstAttemptWhenTheSecondIsRefused() {
        receive(1, 0);
        breakAndRetry(1);
        harness.handle(new DispatchEvent.Refused(2, 503, "overloaded", true));
        harness.handle(new DispatchEvent.RetryDecided(false, 0));
        DispatchCommand.FailCaller failure = harness.commands.stream()
                .filter(DispatchCommand.FailCaller.class::isInstance)
                .map(DispatchCommand.FailCaller.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals("may_have_run", failure.verdict().code());
    }

    private void receive(int attempt, int events) {
        harness.handle(new DispatchEvent.Begin(ENGINE_A, 0));
        next(attempt, events);
    }

    private void next(int attempt, int events) {
        for (int i = 0; i < events; i++) {
            harness.handle(harness.stream(attempt).orElseThrow().nextEvent(0));
        }
    }

    private void breakAndRetry(int attempt) {
        harness.handle(new DispatchEvent.ConnectionBroken(attempt, true));
        harness.handle(new DispatchEvent.RetryDecided(true, 0));
    }

    private DispatchCommand last() {
        return harness.commands.get(harness.commands.size() - 1);
    }
}
