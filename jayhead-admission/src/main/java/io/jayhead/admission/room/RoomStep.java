package io.jayhead.admission.room;

import java.util.List;

/**
 * The result of an event.
 *
 * @param next the state after it
 * @param verdicts the requests that were decided by it, in the order of the decisions
 */
public record RoomStep(ServiceAdmission next, List<RoomVerdict> verdicts) {

    /** Makes a defensive copy of the verdicts. */
    public RoomStep {
        verdicts = List.copyOf(verdicts);
    }
}
