package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKey;
import io.jayhead.model.RetryRule;
import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against bookings that run twice, and against status reads that are not repeated. A booking runs twice if it is
 * sent again after an attempt that may have run, for example because an event of an earlier attempt is taken for proof
 * that the last one did not run.
 */
class CallAttemptsPropertyTest {

    private static final UpstreamName DESK_A = UpstreamName.of("desk-a");
    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("booking"));

    private final List<DispatchCommand> commands = new ArrayList<>();
    private final Set<Integer> possiblyRunAttempts = new HashSet<>();
    private CallState state;

    /** Guards against a booking that is sent again although it may have run, and against false "not run" verdicts. */
    @Property(tries = 10_000)
    void sendsABookingAgainOnlyWithProofThatItDidNotRun(
            @ForAll @Size(max = 30) List<@IntRange(max = 500) Integer> script) {
        begin(RetryRule.NEVER, 5);
        long nowMs = 0;
        for (int step : script) {
            nowMs += step % 10 == 0 ? 6_000 : 1;
            handle(event(step % 11, Math.max(0, state.attemptNumber() - step / 11 % 2), nowMs));
            assertTrue(count(DispatchCommand.CommitCharge.class) <= 1, "charged twice");
            assertTrue(count(DispatchCommand.Finish.class) <= 1, "ended twice");
        }
    }

    /** Guards against a status read that fails although the upstream responds on new connections. */
    @Example
    void repeatsAStatusReadOnTheOnlyUpstreamOverAFreshConnection() {
        begin(RetryRule.REPEAT, 0);
        handle(new DispatchEvent.Tick(6_000));
        handle(new DispatchEvent.RetryDecided(true, 6_000));
        handle(new DispatchEvent.NoUpstream());
        assertEquals(
                new DispatchCommand.Send(2, DESK_A, GenerationState.upstreamRequestId(KEY, 2), 0, true),
                commands.get(commands.size() - 1));
    }

    private void begin(RetryRule rule, long priceTokens) {
        commands.clear();
        possiblyRunAttempts.clear();
        state = CallState.of(KEY, DispatchLimits.of(30_000, 0, 0), rule, priceTokens);
        handle(new DispatchEvent.Admitted(DESK_A, 0));
    }

    private static DispatchEvent event(int action, int attempt, long nowMs) {
        return switch (action) {
            case 0 -> new DispatchEvent.ConnectFailed(attempt);
            case 1 -> new DispatchEvent.Refused(attempt, 503, "draining", true);
            case 2 -> new DispatchEvent.Refused(attempt, 500, "", false);
            case 3 -> new DispatchEvent.ConnectionBroken(attempt, true);
            case 4 -> new DispatchEvent.ConnectionBroken(attempt, false);
            case 5 -> new DispatchEvent.Answered(attempt, 201, "{}");
            case 6, 7 -> new DispatchEvent.RetryDecided(true, nowMs);
            case 8 -> new DispatchEvent.UpstreamChosen(UpstreamName.of("desk-b"), nowMs);
            case 9 -> new DispatchEvent.Charged();
            default -> new DispatchEvent.Tick(nowMs);
        };
    }

    private void handle(DispatchEvent event) {
        boolean provesNotRun = event instanceof DispatchEvent.ConnectFailed
                || event instanceof DispatchEvent.Refused refused && refused.definite()
                || event instanceof DispatchEvent.ConnectionBroken broken && !broken.bytesSent();
        if (provesNotRun && state.phase() == CallState.Phase.RUNNING) {
            possiblyRunAttempts.remove(((DispatchEvent.AttemptEvent) event).attempt());
        }
        Transition<CallState, DispatchCommand> transition = CallAttempts.handle(state, event);
        state = transition.state();
        for (DispatchCommand command : transition.commands()) {
            commands.add(command);
            if (command instanceof DispatchCommand.Send send) {
                boolean booking = state.retryRule() == RetryRule.NEVER;
                assertTrue(!booking || possiblyRunAttempts.isEmpty(), "sent again although it may have run");
                possiblyRunAttempts.add(send.attempt());
            } else if (command instanceof DispatchCommand.FailCaller failure) {
                assertTrue(!failure.verdict().isNotRun() || possiblyRunAttempts.isEmpty(), "\"not run\" without proof");
            }
        }
    }

    private long count(Class<? extends DispatchCommand> type) {
        return commands.stream().filter(type::isInstance).count();
    }
}
