package io.jayhead.dispatch.forward;

/**
 * Decides for how long an attempt may make no progress before the request is sent to another upstream, if it may be.
 *
 * <p>Progress is a complete answer or a complete event of a stream, so an upstream that sends a byte now and then makes
 * none. The limits follow the objectives of the route and the recent answers of the same route. Under load that slows
 * all upstreams of a service down, the recent answers raise the limits, so that sound requests are not repeated.
 */
public final class SilenceLimit {

    /** The objective of routes that set none. */
    private static final int UNSET_OBJECTIVE_MS = 500;
    /** An answer that is due for this multiple of its objective has probably been lost. */
    private static final double CALL_OBJECTIVES = 2;
    /** The first event may take longer, since it waits for the prefill of other prompts. */
    private static final double FIRST_EVENT_OBJECTIVES = 3;
    /** A pause of this multiple of its objective indicates a stuck stream. */
    private static final double EVENT_GAP_OBJECTIVES = 2;
    /** The spread of sound answer times around their recent mean. */
    private static final double RECENT_MEANS = 3;
    /** Callers give up a stream after a pause of this many objectives for the first event or for pauses. */
    private static final double UNREAD_FIRST_EVENT_OBJECTIVES = 4;

    private static final double UNREAD_EVENT_GAP_OBJECTIVES = 8;
    private static final int MIN_UNREAD_MS = 2_000;

    private SilenceLimit() {}

    /**
     * Returns the limit for the complete answer to a call that is no stream.
     *
     * @param latencyObjectiveMs the objective of the route for the answer; 0 if it has none
     * @param recentAnswerMs the mean time of recent answers on the route; 0 without answers
     * @return the limit in milliseconds
     */
    public static long callMs(int latencyObjectiveMs, double recentAnswerMs) {
        return longest(CALL_OBJECTIVES * objectiveMs(latencyObjectiveMs), recentAnswerMs);
    }

    /**
     * Returns the limit for the first event of a stream.
     *
     * @param latencyObjectiveMs the objective of the route for the first event; 0 if it has none
     * @param recentFirstEventMs the mean time to the first event of recent streams on the route; 0 without streams
     * @return the limit in milliseconds
     */
    public static long firstEventMs(int latencyObjectiveMs, double recentFirstEventMs) {
        return longest(FIRST_EVENT_OBJECTIVES * objectiveMs(latencyObjectiveMs), recentFirstEventMs);
    }

    /**
     * Returns the limit between two events of a stream.
     *
     * @param eventGapObjectiveMs the objective of the route for pauses between events; 0 if it has none
     * @return the limit in milliseconds
     */
    public static long eventGapMs(int eventGapObjectiveMs) {
        return (long) (EVENT_GAP_OBJECTIVES * objectiveMs(eventGapObjectiveMs));
    }

    /**
     * Returns for how long a stream that its caller does not read keeps its place at the upstream.
     *
     * @param latencyObjectiveMs the objective of the route for the first event; 0 if it has none
     * @param eventGapObjectiveMs the objective of the route for pauses between events; 0 if it has none
     * @return the limit in milliseconds, after which callers that read would have given up the stream too
     */
    public static long unreadMs(int latencyObjectiveMs, int eventGapObjectiveMs) {
        double byFirstEvent = UNREAD_FIRST_EVENT_OBJECTIVES * objectiveMs(latencyObjectiveMs);
        double byEventGap = UNREAD_EVENT_GAP_OBJECTIVES * objectiveMs(eventGapObjectiveMs);
        return (long) Math.max(MIN_UNREAD_MS, Math.max(byFirstEvent, byEventGap));
    }

    private static long longest(double objectiveLimitMs, double recentMs) {
        return (long) Math.max(objectiveLimitMs, RECENT_MEANS * recentMs);
    }

    private static int objectiveMs(int configuredMs) {
        return configuredMs > 0 ? configuredMs : UNSET_OBJECTIVE_MS;
    }
}
