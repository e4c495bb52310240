package io.jayhead.admission;

import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.model.IncarnationId;

/**
 * Holds the settings of admission.
 *
 * @param incarnation the incarnation of this router, part of its transfer ids
 * @param maxInFlight the most requests that run at a time
 * @param queueLimit the most requests that wait
 * @param organisationQueueLimit the most requests of one organisation that wait
 * @param sizer decides the size of grants
 */
public record AdmissionSettings(
        IncarnationId incarnation, int maxInFlight, int queueLimit, int organisationQueueLimit, GrantSizer sizer) {
    AdmissionSettings withMaxInFlight(int newMaxInFlight) {
        return new AdmissionSettings(incarnation, newMaxInFlight, queueLimit, organisationQueueLimit, sizer);
    }
}
