package io.jayhead.admission.room;

/** What the callers of one group of requests got in a replay. */
final class KindCounts {

    int asked;
    int inTime;
    int late;
    int refused;
    int refusedAgain;

    /** Returns the share of the requests that were served, late ones included. */
    double served() {
        return (inTime + late) / (double) asked;
    }

    double inTimeShare() {
        return inTime / (double) asked;
    }

    @Override
    public String toString() {
        return "asked %d, in time %d, late %d, refused %d, of these again %d"
                .formatted(asked, inTime, late, refused, refusedAgain);
    }
}
