package io.jayhead.admission.room;

import java.util.List;

/** The decisions of one router in a replay. */
interface RouterPolicy {

    /** Takes a new request and returns the decisions that follow. */
    List<Decision> arrived(RoomRequest request, double nowMs, double draw);

    /** Ends an admitted request. */
    List<Decision> left(String id, double heldMs, double nowMs, double draw);

    /** Turns away what has waited for too long. */
    List<Decision> timePassed(double nowMs);

    /** Records the time of an answer. */
    void answered(String id, double answerMs, double nowMs);

    /** What is decided on a request; the caller of one that is turned away may return after the delay. */
    record Decision(String id, boolean admitted, long retryAfterMs) {}
}
