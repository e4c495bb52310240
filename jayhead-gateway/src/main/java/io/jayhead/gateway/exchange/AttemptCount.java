package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.AttemptOutcome;
import io.jayhead.dispatch.forward.ForwardDecision;
import io.jayhead.dispatch.forward.ForwardRules;
import io.jayhead.dispatch.forward.ForwardState;
import io.jayhead.routing.catalog.Route;

/** Counts the attempts of one request, and those that may have run; used by the traffic thread. */
final class AttemptCount {

    private int tries;
    private int possibleRuns;

    /** Counts an upstream that was chosen. */
    void chosen() {
        tries++;
    }

    /** Counts a request that was sent and may therefore run. */
    void sent() {
        possibleRuns++;
    }

    /** Takes back a request that was sent and, as the upstream has proven, did not run. */
    void notRun() {
        possibleRuns--;
    }

    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Decides on the next step after an attempt. */
    ForwardDecision decide(
            Route route,
            boolean answerStarted,
            boolean hasEventId,
            boolean retryAllowed,
            long leftMs,
            AttemptOutcome outcome) {
        ForwardState state = new ForwardState(
                route.mayRunAgain(),
                route.maxAttempts(),
                possibleRuns,
                tries,
                answerStarted,
                route.resumable() && hasEventId,
                retryAllowed,
                leftMs);
        return ForwardRules.decide(state, outcome);
    }

    /** Returns the counts of a request that has ended. */
    ExchangeCounts with(int events, long consumedTokens) {
        return new ExchangeCounts(tries, possibleRuns, events, consumedTokens);
    }
}
