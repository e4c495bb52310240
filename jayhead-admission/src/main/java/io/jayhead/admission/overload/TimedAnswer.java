package io.jayhead.admission.overload;

/**
 * An answer, the first event of a stream, or a request that was given up without either.
 *
 * @param route the name of the route
 * @param answerMs the milliseconds since the request was sent
 * @param objectiveMs the target for this time in milliseconds; 0 without one
 * @param answered false for a request that was given up; its upstream may have failed rather than be overloaded
 */
public record TimedAnswer(String route, double answerMs, int objectiveMs, boolean answered) {}
