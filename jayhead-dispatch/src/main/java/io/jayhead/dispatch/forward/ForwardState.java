package io.jayhead.dispatch.forward;

/**
 * What is known of a request when an attempt has ended; an immutable value.
 *
 * @param mayRunAgain whether the request may be sent again although it may have run
 * @param maxRuns the upstreams that the request may run on
 * @param mayHaveRun the attempts so far that may have run, the last one included
 * @param tries the attempts so far, the last one included
 * @param answerStarted whether the caller has received a part of the answer
 * @param canResume whether a started answer can go on at another upstream
 * @param retryAllowed whether the retry budget allows another send
 * @param leftMs the time until the deadline
 */
public record ForwardState(
        boolean mayRunAgain,
        int maxRuns,
        int mayHaveRun,
        int tries,
        boolean answerStarted,
        boolean canResume,
        boolean retryAllowed,
        long leftMs) {}
