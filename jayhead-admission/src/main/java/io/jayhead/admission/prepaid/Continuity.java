package io.jayhead.admission.prepaid;

import java.util.Optional;

/**
 * Tells whether a router ran during the whole time of which the platform has lost the changes, because it came back
 * from an older copy.
 */
public enum Continuity {
    /** It did: its memory is complete, and its predecessors ended before the copy. */
    CONTINUOUS,
    /** It did not: an earlier incarnation of its VM may have ended in the lost time. */
    REPLACED,
    /** It started after the return, and the copy names no earlier incarnation of its VM. */
    NEW;

    /** Copies of the platform are at most this old. */
    static final double MAX_COPY_AGE_S = 20;

    /**
     * Judges an incarnation at the beginning of an era.
     *
     * @param announcedHolder the incarnation of its VM that the copy names, empty if the copy names none
     * @param holder the name of the incarnation
     * @param ranS for how long the incarnation had run when the platform last answered before its return, in seconds; 0
     *     if the platform never did
     * @param earlier the continuity of the incarnation in the previous era; what was unknown then may still be missing
     *     in the copy
     * @return the continuity
     */
    static Continuity of(Optional<String> announcedHolder, String holder, double ranS, Continuity earlier) {
        if (ranS >= MAX_COPY_AGE_S) {
            return CONTINUOUS;
        }
        if (ranS > 0 && earlier != CONTINUOUS) {
            return earlier;
        }
        return announcedHolder
                .map(announced -> announced.equals(holder) ? CONTINUOUS : REPLACED)
                .orElse(ranS > 0 ? CONTINUOUS : NEW);
    }
}
