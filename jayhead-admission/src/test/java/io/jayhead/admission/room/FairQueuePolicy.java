package io.jayhead.admission.room;

import io.jayhead.admission.overload.AdaptiveLimit;
import io.jayhead.admission.overload.LimitUsage;
import io.jayhead.admission.overload.TimedAnswer;
import io.jayhead.admission.queue.Dequeued;
import io.jayhead.admission.queue.FairQueue;
import io.jayhead.admission.queue.QueuedRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order by priority and organisation with one limit that is learned from the mean lateness of all kinds, for
 * comparison.
 */
final class FairQueuePolicy implements RouterPolicy {

    private static final double MAX_WAIT_OBJECTIVES = 0.25;
    private static final double NEWEST_HOLD_WEIGHT = 0.2;

    private final Map<String, RoomRequest> known = new HashMap<>();
    private FairQueue queue = FairQueue.empty(16, 64);
    private AdaptiveLimit limit = AdaptiveLimit.none();
    private double holdMs;
    private int inFlight;
    private double overloadedSinceMs;
    private double lastRefusalMs = -10_000;

    static long retryAfterMs(long overloadMs) {
        return Math.max(400, Math.min(5_000, (long) (1.25 * overloadMs)));
    }

    @Override
    public List<Decision> arrived(RoomRequest request, double nowMs, double draw) {
        known.put(request.id(), request);
        if (queue.size() == 0 && limit.admits(inFlight, draw)) {
            inFlight++;
            return List.of(new Decision(request.id(), true, 0));
        }
        QueuedRequest queued = new QueuedRequest(
                request.id(), request.organisation(), "service", -request.rank(), (long) request.work(), 1, (long)
                        (nowMs + MAX_WAIT_OBJECTIVES * request.objectiveMs()));
        double waitMs =
                inFlight == 0 ? Double.MAX_VALUE : (queue.ahead(queued) + 1) * holdMs / Math.max(1, limit.requests());
        var offered = queue.offer(queued, (long) nowMs, (long) waitMs);
        if (!offered.isRight()) {
            return List.of(refusal(request.id(), nowMs));
        }
        queue = offered.get();
        return List.of();
    }

    @Override
    public List<Decision> left(String id, double heldMs, double nowMs, double draw) {
        inFlight--;
        holdMs += NEWEST_HOLD_WEIGHT * (heldMs - holdMs);
        List<Decision> decisions = new ArrayList<>();
        while (queue.size() > 0 && limit.admits(inFlight, draw)) {
            Dequeued next = queue.next(request -> true).orElseThrow();
            queue = next.queue();
            inFlight++;
            decisions.add(new Decision(next.request().id(), true, 0));
        }
        return decisions;
    }

    @Override
    public List<Decision> timePassed(double nowMs) {
        List<Decision> decisions = queue.expired((long) nowMs).stream()
                .map(request -> refusal(request.id(), nowMs))
                .toList();
        queue = queue.without(request -> request.expiresAtMs() <= (long) nowMs);
        return decisions;
    }

    @Override
    public void answered(String id, double answerMs, double nowMs) {
        TimedAnswer answer = new TimedAnswer("all", answerMs, known.get(id).objectiveMs(), true);
        limit = limit.answered(answer, new LimitUsage(inFlight, 0, 0), (long) nowMs);
    }

    private Decision refusal(String id, double nowMs) {
        if (nowMs - lastRefusalMs > 2_000) {
            overloadedSinceMs = nowMs;
        }
        lastRefusalMs = nowMs;
        return new Decision(id, false, retryAfterMs((long) (nowMs - overloadedSinceMs)));
    }
}
