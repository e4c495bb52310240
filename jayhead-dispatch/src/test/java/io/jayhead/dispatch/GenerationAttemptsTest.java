package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.UpstreamName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong answers and charges when a generation needs several attempts. This happens if a run is not
 * resumed where it broke, if tokens of different runs are mixed, or if events of earlier attempts are not ignored.
 */
class GenerationAttemptsTest {

    private static final UpstreamName ENGINE_A = UpstreamName.of("engine-a");
    private static final UpstreamName ENGINE_B = UpstreamName.of("engine-b");
    private static final List<String> ANSWER = List.of("t0", "t1", "t2");

    private final GenerationHarness harness =
            new GenerationHarness(Map.of(ENGINE_A, ANSWER, ENGINE_B, List.of("t0", "x1", "x2")));

    /** Guards against a repeated run, or a resumption over a pooled connection, after a silent stream. */
    @Test
    void resumesASilentStreamOnTheSameUpstreamOverAFreshConnection() {
        receive(1, 3);
        harness.handle(new DispatchEvent.Tick(10_000));
        harness.handle(new DispatchEvent.RetryDecided(true, 10_000));
        assertTrue(harness.commands.contains(new DispatchCommand.ReportSilentFailure(ENGINE_A, 0)));
        assertEquals(new DispatchCommand.Send(2, ENGINE_A, harness.state.upstreamRequestId(), 2, true), lastCommand());
        assertTrue(harness.state.upstreamRequestId().endsWith("-1"));
    }

    /** Guards against an answer that combines the tokens of two different runs. */
    @Test
    void breaksTheStreamWhenARerunGivesOtherTokens() {
        receive(1, 3);
        breakAndRetry(1);
        breakAndRetry(2);
        harness.handle(new DispatchEvent.UpstreamChosen(ENGINE_B, 0));
        receiveNext(3, 3);
        assertEquals(List.of("t0", "t1"), harness.delivered);
        assertEquals(1, harness.count(DispatchCommand.FailCaller.class));
        harness.handle(new DispatchEvent.Cancelled(3, Optional.empty()));
        assertEquals(new DispatchCommand.CommitCharge(12, 2), lastCommand());
    }

    /**
     * Guards against the use of tokens, ends and refusals of earlier attempts that arrive during the current attempt.
     */
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

    /** Guards against a run that continues and is not charged after the caller has disconnected. */
    @Test
    void cancelsAndChargesWhatRanWhenTheCallerIsGone() {
        receive(1, 2);
        harness.handle(new DispatchEvent.CallerDisconnected());
        assertEquals(new DispatchCommand.CancelUpstream(1, ENGINE_A, harness.state.upstreamRequestId()), lastCommand());
        harness.handle(new DispatchEvent.Cancelled(1, Optional.of(new Usage(12, 3))));
        assertEquals(new DispatchCommand.CommitCharge(12, 3), lastCommand());
    }

    /** Guards against a request that never ends because the engine does not answer the cancellation. */
    @Test
    void chargesWhatWasReceivedWhenACancelledUpstreamStaysSilent() {
        receive(1, 2);
        harness.handle(new DispatchEvent.CallerDisconnected());
        harness.handle(new DispatchEvent.Tick(1_001));
        assertEquals(new DispatchCommand.CommitCharge(12, 1), lastCommand());
    }

    /**
     * Guards against a "not run" verdict because the second attempt was refused, although the first one may have run.
     */
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
        harness.handle(new DispatchEvent.Admitted(ENGINE_A, 0));
        receiveNext(attempt, events);
    }

    private void receiveNext(int attempt, int events) {
        for (int i = 0; i < events; i++) {
            harness.handle(harness.stream(attempt).orElseThrow().nextEvent(0));
        }
    }

    private void breakAndRetry(int attempt) {
        harness.handle(new DispatchEvent.ConnectionBroken(attempt, true));
        harness.handle(new DispatchEvent.RetryDecided(true, 0));
    }

    private DispatchCommand lastCommand() {
        return harness.commands.get(harness.commands.size() - 1);
    }
}
