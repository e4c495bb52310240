package io.jayhead.admission;

import io.jayhead.model.OrganisationName;

/**
 * Describes a request in flight.
 *
 * @param organisation the organisation that sent the request
 * @param startedAtMs the start time
 */
public record RunningRequest(OrganisationName organisation, long startedAtMs) {}
