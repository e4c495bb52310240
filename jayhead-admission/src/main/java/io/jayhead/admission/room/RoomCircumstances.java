package io.jayhead.admission.room;

import io.jayhead.admission.overload.ServiceRoom;

/**
 * The circumstances of a decision.
 *
 * @param atMs the time
 * @param room what the upstreams of the service report
 * @param draw a random number from 0, inclusive, to 1, exclusive; decides about fractions of requests
 */
public record RoomCircumstances(long atMs, ServiceRoom room, double draw) {}
