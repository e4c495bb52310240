package io.jayhead.admission.room;

import java.util.Comparator;

/**
 * A waiting request with its place in the order.
 *
 * @param request the request
 * @param rank the rank that it counts under; that of the request, or the excess rank
 * @param latestStartMs the latest time in milliseconds at which it can be sent and answered within its objective
 * @param startByMs the latest start, moved by the work that it needs; the earliest goes first
 */
record WaitingRequest(RoomRequest request, int rank, double latestStartMs, double startByMs) {

    /** How far the work moves a request in the order, as a share of its objective. */
    private static final double WORK_SPREAD = 0.25;
    /** Bounds the effect of the work, so that the largest requests are delayed but not starved. */
    private static final double MAX_WORK_RATIO = 2;

    /**
     * Places a request.
     *
     * @param request the request
     * @param rank the rank that it counts under
     * @param answerMs the mean milliseconds to an answer of its route
     * @param meanWork the mean work of recent requests of the service in prompt tokens; 0 if unknown
     */
    static WaitingRequest of(RoomRequest request, int rank, double answerMs, double meanWork) {
        double latestStartMs = request.objectiveAtMs() - answerMs;
        double workRatio = meanWork == 0 ? 1 : Math.min(MAX_WORK_RATIO, request.work() / meanWork);
        double startByMs = latestStartMs + (workRatio - 1) * WORK_SPREAD * request.objectiveMs();
        return new WaitingRequest(request, rank, latestStartMs, startByMs);
    }

    /** Tells whether the objective can no longer be met. */
    boolean isLate(long nowMs) {
        return nowMs > latestStartMs;
    }

    /** Returns the order at a given time: by rank, then those that can still be in time, then by start. */
    static Comparator<WaitingRequest> order(long nowMs) {
        return Comparator.comparingInt(WaitingRequest::rank)
                .thenComparing(waiting -> waiting.isLate(nowMs))
                .thenComparingDouble(WaitingRequest::startByMs)
                .thenComparing(waiting -> waiting.request().arrivedAtMs())
                .thenComparing(waiting -> waiting.request().id());
    }
}
