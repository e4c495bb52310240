package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.Transition;
import io.jayhead.model.UpstreamName;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections that remain silent, and against retries that overload the upstreams. If silent connections
 * are kept, every request on them fails; if late failures of dropped connections count, working ones are dropped too.
 */
class ConnectionHealthTest {

    private static final UpstreamName ENGINE = UpstreamName.of("engine-a");

    /** Guards against new connections that are dropped because streams of the old pool fail late. */
    @Test
    void dropsThePoolOnceForAllStreamsOfTheSamePool() {
        var first = ConnectionHealth.empty().withSilentFailure(ENGINE, 100, 5_000);
        assertEquals(List.of(new ConnectionCommand.DropPool(ENGINE)), first.commands());
        assertEquals(
                List.of(), first.state().withSilentFailure(ENGINE, 4_000, 9_000).commands());
        assertFalse(first.state().isDown(ENGINE));
    }

    /**
     * Guards against an upstream in use although no connection works, and against a down mark that is never removed.
     */
    @Test
    void marksAnUpstreamDownAfterSeveralPoolsAndUpAfterProgress() {
        ConnectionHealth health = ConnectionHealth.empty();
        for (long nowMs = 1_000; nowMs <= 3_000; nowMs += 1_000) {
            assertFalse(health.isDown(ENGINE));
            health = health.withSilentFailure(ENGINE, nowMs - 1, nowMs).state();
        }
        assertTrue(health.isDown(ENGINE));
        Transition<ConnectionHealth, ConnectionCommand> progress = health.withProgress(ENGINE, 3_001);
        assertEquals(List.of(new ConnectionCommand.MarkUp(ENGINE)), progress.commands());
    }

    /** Guards against retries that multiply the load while many upstreams fail. */
    @Test
    void allowsOneRetryForTenRequests() {
        RetryBudget budget = new RetryBudget(0, RetryBudget.MAX_TOKENS);
        for (int i = 0; i < 10; i++) {
            assertFalse(budget.allowsRetry());
            budget = budget.withRequest();
        }
        assertTrue(budget.allowsRetry());
        assertFalse(budget.withRetry().allowsRetry());
    }
}
