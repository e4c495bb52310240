package io.jayhead.gateway.control;

/**
 * The start or the end of the evacuation of an availability zone.
 *
 * @param zone the availability zone
 * @param evacuated true if its upstreams get no new requests from now on, false if they may again
 */
public record EvacuationChange(String zone, boolean evacuated) {}
