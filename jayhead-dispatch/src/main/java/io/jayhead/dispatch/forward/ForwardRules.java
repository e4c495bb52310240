package io.jayhead.dispatch.forward;

/** Decides whether a request is sent again and, if not, which answer the caller receives. */
public final class ForwardRules {

    /** The maximum number of attempts of one request, including those that did not run. */
    public static final int MAX_ATTEMPTS = 4;
    /** The minimum remaining time for another attempt; with less, its answer would arrive too late. */
    public static final long MIN_REMAINING_MS = 30;

    private ForwardRules() {}

    /**
     * Decides on the next step after an attempt without an answer for the caller.
     *
     * @param state the state of the request
     * @param outcome how the last attempt ended
     * @return the decision
     */
    public static ForwardDecision decide(ForwardState state, AttemptOutcome outcome) {
        if (mayTryAnother(state, outcome)) {
            return ForwardDecision.TRY_ANOTHER;
        }
        if (state.answerStarted()) {
            return ForwardDecision.BREAK_OFF;
        }
        if (outcome == AttemptOutcome.FAILED) {
            return ForwardDecision.PASS_FAILURE;
        }
        return state.possibleRuns() == 0 ? ForwardDecision.ANSWER_NOT_RUN : ForwardDecision.ANSWER_UNKNOWN;
    }

    private static boolean mayTryAnother(ForwardState state, AttemptOutcome outcome) {
        if (state.attempts() >= MAX_ATTEMPTS || state.remainingMs() < MIN_REMAINING_MS) {
            return false;
        }
        if (state.answerStarted() && !state.canResume()) {
            return false;
        }
        if (outcome != AttemptOutcome.NOT_SENT && !state.retryAllowed()) {
            return false;
        }
        if (state.possibleRuns() == 0) {
            return true;
        }
        return state.mayRunAgain() && state.possibleRuns() < state.maxRuns();
    }
}
