package io.jayhead.dispatch.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run twice and against a false "not run" answer. This happens if an attempt whose outcome
 * is unknown counts as one that did not run, or if a limit on attempts, runs or time is ignored.
 */
class ForwardRulesTest {

    private static final ForwardState BOOKING_SENT = new ForwardState(false, 1, 1, 1, false, false, true, 500);
    private static final ForwardState LOOKUP_SENT = new ForwardState(true, 2, 1, 1, false, false, true, 500);
    private static final ForwardState STREAM_STARTED = new ForwardState(true, 2, 1, 1, true, true, true, 5_000);

    @Test
    void aBookingWithAnUnknownOutcomeIsNeitherRepeatedNorCalledNotRun() {
        assertEquals(ForwardDecision.ANSWER_UNKNOWN, ForwardRules.decide(BOOKING_SENT, AttemptOutcome.UNKNOWN));
    }

    @Test
    void aRejectedBookingIsSentToAnotherUpstream() {
        ForwardState rejected = new ForwardState(false, 1, 0, 1, false, false, true, 500);
        assertEquals(ForwardDecision.TRY_ANOTHER, ForwardRules.decide(rejected, AttemptOutcome.REJECTED));
    }

    @Test
    void aRejectedBookingWithoutRetryBudgetIsAnsweredAsNotRun() {
        ForwardState rejected = new ForwardState(false, 1, 0, 1, false, false, false, 500);
        assertEquals(ForwardDecision.ANSWER_NOT_RUN, ForwardRules.decide(rejected, AttemptOutcome.REJECTED));
    }

    @Test
    void anIdempotentRequestIsRepeatedUpToItsLimit() {
        assertEquals(ForwardDecision.TRY_ANOTHER, ForwardRules.decide(LOOKUP_SENT, AttemptOutcome.FAILED));
        ForwardState sentTwice = new ForwardState(true, 2, 2, 2, false, false, true, 500);
        assertEquals(ForwardDecision.PASS_FAILURE, ForwardRules.decide(sentTwice, AttemptOutcome.FAILED));
    }

    @Test
    void aStartedStreamIsResumedOrBrokenOff() {
        assertEquals(ForwardDecision.TRY_ANOTHER, ForwardRules.decide(STREAM_STARTED, AttemptOutcome.UNKNOWN));
        ForwardState notResumable = new ForwardState(false, 1, 1, 1, true, false, true, 5_000);
        assertEquals(ForwardDecision.BREAK_OFF, ForwardRules.decide(notResumable, AttemptOutcome.UNKNOWN));
    }

    @Test
    void aFailedConnectionDoesNotNeedRetryBudget() {
        ForwardState notSent = new ForwardState(false, 1, 0, 1, false, false, false, 500);
        assertEquals(ForwardDecision.TRY_ANOTHER, ForwardRules.decide(notSent, AttemptOutcome.NOT_SENT));
    }

    @Property
    void notRunIsNeverSaidOfARequestThatMayHaveRun(
            @ForAll boolean mayRunAgain,
            @ForAll @IntRange(min = 1, max = 3) int maxRuns,
            @ForAll @IntRange(min = 1, max = 4) int possibleRuns,
            @ForAll @IntRange(min = 1, max = 5) int attempts,
            @ForAll boolean answerStarted,
            @ForAll boolean retryAllowed,
            @ForAll @IntRange(max = 600) int remainingMs,
            @ForAll AttemptOutcome outcome) {
        ForwardState state = new ForwardState(
                mayRunAgain, maxRuns, possibleRuns, attempts, answerStarted, answerStarted, retryAllowed, remainingMs);
        assertNotEquals(ForwardDecision.ANSWER_NOT_RUN, ForwardRules.decide(state, outcome));
    }

    @Property
    void aRequestThatMayRunOnceIsNeverRepeatedAfterItMayHaveRun(
            @ForAll @IntRange(min = 1, max = 4) int possibleRuns,
            @ForAll @IntRange(min = 1, max = 5) int attempts,
            @ForAll AttemptOutcome outcome) {
        ForwardState state = new ForwardState(false, 3, possibleRuns, attempts, false, false, true, 5_000);
        assertFalse(ForwardRules.decide(state, outcome) == ForwardDecision.TRY_ANOTHER);
    }
}
