package io.jayhead.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.model.RequestKind;
import io.jayhead.model.RetryRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against limits that make retries impossible. This happens if the wait of one attempt for its first byte takes
 * the time of the remaining attempts.
 */
class DispatchLimitsTest {

    /** Guards against a silent first attempt that uses up the deadline of a request that could be retried. */
    @ParameterizedTest
    @EnumSource
    void leaveTimeForAllAttemptsBeforeTheDeadline(RequestKind kind) {
        DispatchLimits limits = DispatchLimits.of(kind, 1_000, 10, 10);
        int attempts = kind.retryRule() == RetryRule.NEVER ? 1 : limits.maxAttempts();
        assertTrue(limits.firstByteMs() * attempts <= limits.deadlineMs() - 1_000);
    }
}
