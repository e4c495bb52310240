package io.jayhead.admission.overload;

/**
 * The use of a limit at the time of an answer.
 *
 * @param inFlight the requests in flight, including the answered one
 * @param moreUrgentInFlight those that are more urgent than the answered one
 * @param reserved the places that are kept for more urgent requests
 */
public record LimitUsage(int inFlight, int moreUrgentInFlight, double reserved) {}
