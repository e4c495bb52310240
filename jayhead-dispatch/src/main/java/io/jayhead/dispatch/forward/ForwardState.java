package io.jayhead.dispatch.forward;

/**
 * Holds the state of a request after one of its attempts has ended; immutable.
 *
 * @param mayRunAgain whether the request may be sent again although an earlier attempt may have run it
 * @param maxRuns the maximum number of attempts that may run the request
 * @param possibleRuns the number of attempts so far that may have run, including the last one
 * @param attempts the number of attempts so far, including the last one and those that did not run
 * @param answerStarted whether the caller has received a part of the answer
 * @param canResume whether another upstream can continue an answer that has started
 * @param retryAllowed whether the retry budget allows another attempt
 * @param remainingMs the remaining time until the deadline
 */
public record ForwardState(
        boolean mayRunAgain,
        int maxRuns,
        int possibleRuns,
        int attempts,
        boolean answerStarted,
        boolean canResume,
        boolean retryAllowed,
        long remainingMs) {}
