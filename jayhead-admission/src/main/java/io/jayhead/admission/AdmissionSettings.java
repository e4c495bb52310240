package io.jayhead.admission;

import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.model.IncarnationId;

/**
 * Holds the settings of {@link AdmissionController}.
 *
 * @param incarnation the incarnation of this router; makes the transfer ids of its loans unique
 * @param maxInFlight the maximum number of requests in flight
 * @param queueLimit the maximum number of waiting requests
 * @param organisationQueueLimit the maximum number of waiting requests of one organisation
 * @param sizer decides how many tokens to request, keep and return
 */
public record AdmissionSettings(
        IncarnationId incarnation, int maxInFlight, int queueLimit, int organisationQueueLimit, GrantSizer sizer) {
    AdmissionSettings withMaxInFlight(int newMaxInFlight) {
        return new AdmissionSettings(incarnation, newMaxInFlight, queueLimit, organisationQueueLimit, sizer);
    }
}
