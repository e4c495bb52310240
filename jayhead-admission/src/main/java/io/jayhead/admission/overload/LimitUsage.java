package io.jayhead.admission.overload;

/**
 * The use of a limit at the time of an answer.
 *
 * @param inFlight the requests in flight, including the answered one
 * @param spared those that are more urgent than the answered one, which a decrease spares
 * @param reserved the places that are kept for more urgent requests
 */
public record LimitUsage(int inFlight, int spared, double reserved) {}
