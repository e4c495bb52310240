package io.jayhead.admission.room;

import io.jayhead.admission.overload.ServiceRoom;

/**
 * The input of a decision that does not come from the request.
 *
 * @param atMs the time of a monotonic clock in milliseconds, like all times of this package
 * @param room what the upstreams of the service report
 * @param draw a random number from 0, inclusive, to 1, exclusive; decides about fractions of requests
 */
public record RoomCircumstances(long atMs, ServiceRoom room, double draw) {}
