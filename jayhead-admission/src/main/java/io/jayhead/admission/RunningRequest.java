package io.jayhead.admission;

import io.jayhead.model.OrganisationName;

/**
 * Describes a request that was started.
 *
 * @param organisation the organisation that it is served for
 * @param startedAtMs the start time
 */
public record RunningRequest(OrganisationName organisation, long startedAtMs) {}
