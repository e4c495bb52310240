package io.jayhead.dispatch.forward;

/** Decides whether a request is sent again and which answer the caller gets otherwise. */
public final class ForwardRules {

    /** Bounds the attempts of one request, those that were refused included. */
    public static final int MAX_TRIES = 4;
    /** With less time left, another attempt cannot be answered. */
    public static final long MIN_LEFT_MS = 30;

    private ForwardRules() {}

    /**
     * Decides on the next step.
     *
     * @param state what is known of the request
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
        return state.mayHaveRun() == 0 ? ForwardDecision.ANSWER_NOT_RUN : ForwardDecision.ANSWER_UNKNOWN;
    }

    private static boolean mayTryAnother(ForwardState state, AttemptOutcome outcome) {
        if (state.tries() >= MAX_TRIES || state.leftMs() < MIN_LEFT_MS) {
            return false;
        }
        if (state.answerStarted() && !state.canResume()) {
            return false;
        }
        if (outcome != AttemptOutcome.NOT_SENT && !state.retryAllowed()) {
            return false;
        }
        if (state.mayHaveRun() == 0) {
            return true;
        }
        return state.mayRunAgain() && state.mayHaveRun() < state.maxRuns();
    }
}
