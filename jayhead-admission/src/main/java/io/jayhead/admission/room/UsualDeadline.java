package io.jayhead.admission.room;

/**
 * Learns the deadline that the callers of a route usually set; immutable. A caller that returns after a refusal is
 * recognised by it, as its new deadline is what is left of the usual one.
 *
 * @param deadlineMs the longest deadline of late in milliseconds; it decays, so that a single long one is forgotten
 * @param shorterShare the recent share of requests with a clearly shorter deadline, from 0 to 1
 * @param requests the requests so far, up to the number from which the deadline is believed
 */
public record UsualDeadline(long deadlineMs, double shorterShare, int requests) {

    /** The route has had no requests. */
    public static final UsualDeadline UNKNOWN = new UsualDeadline(0, 0, 0);

    /** Deadlines within this share of the usual one are first attempts. */
    private static final double USUAL_SHARE = 0.97;
    /** Deadlines differ by caller, and say nothing about returns, if more of them than this are shorter. */
    private static final double MAX_SHORTER_SHARE = 0.5;

    private static final double NEWEST_WEIGHT = 0.02;
    private static final int MIN_REQUESTS = 20;
    /** What is left of the longest deadline after a request with a shorter one. */
    private static final double DECAY = 0.999;

    /**
     * Records the deadline of a request.
     *
     * @param newDeadlineMs the milliseconds for which its caller waits
     * @return the new state
     */
    public UsualDeadline arrived(long newDeadlineMs) {
        long longestMs = Math.max((long) (DECAY * deadlineMs), newDeadlineMs);
        double shorter = newDeadlineMs < USUAL_SHARE * longestMs ? 1 : 0;
        return new UsualDeadline(
                longestMs,
                shorterShare + NEWEST_WEIGHT * (shorter - shorterShare),
                Math.min(MIN_REQUESTS, requests + 1));
    }

    /**
     * Returns for how long the caller has been trying.
     *
     * @param newDeadlineMs the milliseconds for which it still waits
     * @return the time since its first attempt in milliseconds; 0 for a first attempt, or if that is not known
     */
    public long triedForMs(long newDeadlineMs) {
        boolean known = requests >= MIN_REQUESTS && shorterShare < MAX_SHORTER_SHARE;
        return known && newDeadlineMs < USUAL_SHARE * deadlineMs ? deadlineMs - newDeadlineMs : 0;
    }
}
