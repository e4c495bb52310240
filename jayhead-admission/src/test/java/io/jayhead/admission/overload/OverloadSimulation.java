package io.jayhead.admission.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Replays arrivals at routers before one service in virtual time. The service runs a number of requests at once and
 * keeps the others waiting; callers leave after four times the objective.
 */
final class OverloadSimulation {

    static final int OBJECTIVE_MS = 400;

    private static final int PATIENCE_MS = 4 * OBJECTIVE_MS;
    private static final int SLOTS = 40;
    private static final int WORK_MS = 200;
    private static final int DURATION_MS = 60_000;
    /** The first seconds, in which the limit is still being learned. */
    private static final int WARM_UP_MS = 10_000;

    private final boolean limited;
    private final double load;
    private final Random random = new Random(20261204);
    private final List<AdaptiveLimit> limits = new ArrayList<>();
    private final int[] inFlight;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Deque<Request> waiting = new ArrayDeque<>();
    private int running;
    private long order;
    private int onTime;
    private int lostWork;
    private int refused;

    OverloadSimulation(int routers, boolean limited, double load) {
        this.limited = limited;
        this.load = load;
        this.inFlight = new int[routers];
        for (int router = 0; router < routers; router++) {
            limits.add(AdaptiveLimit.none());
        }
    }

    /** Plays all arrivals and returns the share of the capacity that was served within the objective. */
    double run() {
        schedule(0, this::arrive);
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action().run(event.atMs());
        }
        double capacity = (DURATION_MS - WARM_UP_MS) * SLOTS / (double) WORK_MS;
        return onTime / capacity;
    }

    int lostWork() {
        return lostWork;
    }

    int refused() {
        return refused;
    }

    private void arrive(double nowMs) {
        if (nowMs > DURATION_MS) {
            return;
        }
        double meanGapMs = WORK_MS / (SLOTS * load);
        schedule(nowMs - meanGapMs * Math.log(1 - random.nextDouble()), this::arrive);
        int router = random.nextInt(inFlight.length);
        if (limited && !limits.get(router).admits(inFlight[router], random.nextDouble())) {
            refused++;
            return;
        }
        inFlight[router]++;
        Request request = new Request(router, nowMs);
        waiting.add(request);
        schedule(nowMs + PATIENCE_MS, at -> leave(request, at));
        startNext(nowMs);
    }

    private void leave(Request request, double nowMs) {
        if (waiting.remove(request)) {
            end(request, nowMs);
        }
    }

    private void startNext(double nowMs) {
        while (running < SLOTS && !waiting.isEmpty()) {
            running++;
            Request request = waiting.poll();
            schedule(nowMs + WORK_MS, at -> finish(request, at));
        }
    }

    private void finish(Request request, double nowMs) {
        running--;
        boolean late = nowMs - request.sentMs() > OBJECTIVE_MS;
        if (nowMs > WARM_UP_MS) {
            onTime += late ? 0 : 1;
            lostWork += late ? 1 : 0;
        }
        end(request, nowMs);
        startNext(nowMs);
    }

    private void end(Request request, double nowMs) {
        int router = request.router();
        double answerMs = nowMs - request.sentMs();
        TimedAnswer answer = new TimedAnswer("route", answerMs, OBJECTIVE_MS, true);
        LimitUsage usage = new LimitUsage(inFlight[router], 0, 0);
        limits.set(router, limits.get(router).answered(answer, usage, (long) nowMs));
        inFlight[router]--;
    }

    private void schedule(double atMs, Action action) {
        events.add(new Event(atMs, order++, action));
    }

    private interface Action {
        void run(double nowMs);
    }

    private record Request(int router, double sentMs) {}

    private record Event(double atMs, long order, Action action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
