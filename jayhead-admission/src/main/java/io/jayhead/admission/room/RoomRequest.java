package io.jayhead.admission.room;

import io.jayhead.model.OrganisationName;

/**
 * A request that asks for room at a service.
 *
 * @param id identifies the request; no other waiting request has it
 * @param organisation the organisation of the caller
 * @param route the name of its route; the answer times are learned per route
 * @param rank the urgency, from 0, the most urgent, to 99
 * @param arrivedAtMs when this attempt of the caller arrived
 * @param objectiveMs the target time until the answer or first event in milliseconds; 0 if it has none
 * @param objectiveAtMs when the target time ends, counted from the caller's first attempt
 * @param deadlineAtMs when the caller gives up
 * @param work the work that it needs, in prompt tokens; 1 if unknown
 */
public record RoomRequest(
        String id,
        OrganisationName organisation,
        String route,
        int rank,
        long arrivedAtMs,
        int objectiveMs,
        long objectiveAtMs,
        long deadlineAtMs,
        double work) {

    /** The least urgent rank. */
    public static final int LAST_RANK = 99;

    /** The time that a request may wait, as a multiple of its objective. */
    private static final double MAX_WAIT_OBJECTIVES = 1.0;
    /** The share of its time that a request may wait, so that a caller who is refused after all can still return. */
    private static final double MAX_WAIT_SHARE = 0.25;

    /** Checks the rank. */
    public RoomRequest {
        if (rank < 0 || rank > LAST_RANK) {
            throw new IllegalArgumentException("rank " + rank);
        }
    }

    /**
     * Returns when the request is refused if it still waits.
     *
     * @return the time in milliseconds
     */
    public long expiresAtMs() {
        double byObjectiveMs = MAX_WAIT_OBJECTIVES * objectiveMs;
        double byDeadlineMs = MAX_WAIT_SHARE * (deadlineAtMs - arrivedAtMs);
        return arrivedAtMs + (long) Math.min(byObjectiveMs, byDeadlineMs);
    }
}
