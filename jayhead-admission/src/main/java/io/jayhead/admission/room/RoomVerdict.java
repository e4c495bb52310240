package io.jayhead.admission.room;

/**
 * The decision on one request.
 *
 * @param request the request
 * @param rank the rank that it counts under; one less urgent than all others if its organisation exceeds its usual load
 * @param decision what is decided
 * @param reason why
 * @param slackMs the milliseconds left to send it within its objective; negative if the objective is out of reach
 * @param roomInMs the milliseconds until room is expected for the caller to return; 0 for admitted requests
 * @param answerMs the mean time in milliseconds to recent answers of its route; 0 if unknown
 */
public record RoomVerdict(
        RoomRequest request,
        int rank,
        RoomDecision decision,
        RoomReason reason,
        long slackMs,
        long roomInMs,
        double answerMs) {

    /**
     * Tells whether the request may be sent.
     *
     * @return false if it is turned away
     */
    public boolean isAdmitted() {
        return decision == RoomDecision.ADMITTED;
    }
}
