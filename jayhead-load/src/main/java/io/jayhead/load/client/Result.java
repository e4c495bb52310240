package io.jayhead.load.client;

import io.jayhead.load.plan.PlannedRequest;

/**
 * Pairs a request with its outcome.
 *
 * @param request the request
 * @param outcome how it ended
 */
public record Result(PlannedRequest request, Outcome outcome) {}
