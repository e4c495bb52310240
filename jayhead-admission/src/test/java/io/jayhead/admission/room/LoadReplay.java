package io.jayhead.admission.room;

import io.jayhead.model.OrganisationName;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Replays requests of three kinds at routers before one service in virtual time: bursts of one kind, and one
 * organisation at many times its usual load. The service runs the most urgent requests first, in a number of slots;
 * reading and generating take the longer, the more requests run. Callers return once after a refusal.
 */
final class LoadReplay {

    static final double HOT_FACTOR = 7.5;
    static final int ORGANISATIONS = 12;
    /** The organisation that sends many times its usual load. */
    static final OrganisationName HOT = OrganisationName.of("org-0");

    private static final int ROUTERS = 8;
    private static final int SLOTS = 128;
    private static final double READ_TOKENS_PER_MS = 125;
    /** The time to generate one output token at an idle service. */
    private static final double TOKEN_MS = 3.3;
    /** The time by which all slots in use lengthen each output token. */
    private static final double FULL_SERVICE_TOKEN_MS = 1.5;
    /** The time to the first event without reading the prompt. */
    private static final double FIRST_EVENT_BASE_MS = 60;

    private static final int DURATION_MS = 60_000;
    private static final int BURST_EVERY_MS = 15_000;
    private static final int BURST_MS = 6_000;
    private static final int HOT_FROM_MS = 30_000;
    private static final int HOT_TO_MS = 40_000;

    final Map<LoadKind, KindCounts> byKind = new EnumMap<>(LoadKind.class);
    final Map<LoadKind, KindCounts> largeByKind = new EnumMap<>(LoadKind.class);
    final Map<OrganisationName, KindCounts> byOrganisationWhileHot = new TreeMap<>();

    private final double arrivalsPerMs;
    private final double burstFactor;
    private final boolean hotOrganisation;
    /** Draws the arrivals, which are the same for all policies. */
    private final Random random = new Random(44);
    /** Draws what depends on the decisions. */
    private final Random decisionRandom = new Random(45);

    private final List<RouterPolicy> routers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final PriorityQueue<Call> queue;
    private final Map<String, Call> calls = new HashMap<>();
    private int running;
    private long order;

    /**
     * Creates a replay.
     *
     * @param policy makes the decisions of a router
     * @param load the mean load before bursts, as a share of what the service can do
     * @param burstFactor the factor of the bursts
     * @param hotOrganisation whether one organisation sends many times its usual load for a while
     */
    LoadReplay(Supplier<RouterPolicy> policy, double load, double burstFactor, boolean hotOrganisation) {
        this.burstFactor = burstFactor;
        this.hotOrganisation = hotOrganisation;
        this.arrivalsPerMs = load * SLOTS / meanServiceMs();
        for (int router = 0; router < ROUTERS; router++) {
            routers.add(policy.get());
        }
        for (LoadKind kind : LoadKind.values()) {
            byKind.put(kind, new KindCounts());
            largeByKind.put(kind, new KindCounts());
        }
        queue = new PriorityQueue<>((left, right) -> left.kind.rank != right.kind.rank
                ? Integer.compare(left.kind.rank, right.kind.rank)
                : Double.compare(left.sentMs, right.sentMs));
    }

    LoadReplay run() {
        schedule(0, this::arrive);
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action().run(event.atMs());
        }
        return this;
    }

    private void arrive(double nowMs) {
        if (nowMs > DURATION_MS) {
            return;
        }
        boolean burst = nowMs % BURST_EVERY_MS > BURST_EVERY_MS - BURST_MS;
        boolean hot = hotOrganisation && nowMs > HOT_FROM_MS && nowMs < HOT_TO_MS;
        double hotFactor = hot ? (ORGANISATIONS - 1 + HOT_FACTOR) / ORGANISATIONS : 1;
        double rate = arrivalsPerMs * (burst ? burstFactor : 1) * hotFactor;
        schedule(nowMs - Math.log(1 - random.nextDouble()) / rate, this::arrive);
        LoadKind kind = LoadKind.of(random.nextDouble());
        double organisationDraw = random.nextDouble() * (ORGANISATIONS * hotFactor);
        int organisation = organisationDraw < ORGANISATIONS ? (int) organisationDraw : 0;
        boolean large = random.nextInt(10) == 0;
        OrganisationName name = OrganisationName.of("org-" + organisation);
        Call call = new Call(kind, large, name, nowMs, random.nextInt(ROUTERS));
        counts(call, counts -> counts.asked++);
        enter(call, nowMs);
    }

    private void enter(Call call, double nowMs) {
        call.id = Long.toString(order++);
        calls.put(call.id, call);
        RoomRequest request = new RoomRequest(
                call.id,
                call.organisation,
                call.kind.name(),
                call.kind.rank,
                (long) nowMs,
                call.kind.objectiveMs,
                (long) call.firstMs + call.kind.objectiveMs,
                (long) call.firstMs + call.kind.deadlineMs,
                call.kind.promptTokens(call.large) + 50 * call.kind.outputTokens(call.large));
        schedule(request.expiresAtMs() + 1.0, at -> apply(router(call).timePassed(at), at));
        schedule(
                nowMs + call.kind.objectiveMs / 4.0 + 1,
                at -> apply(router(call).timePassed(at), at));
        apply(router(call).arrived(request, nowMs, decisionRandom.nextDouble()), nowMs);
    }

    private void apply(List<RouterPolicy.Decision> decisions, double nowMs) {
        for (RouterPolicy.Decision decision : decisions) {
            Call call = calls.get(decision.id());
            if (decision.admitted()) {
                call.sentMs = nowMs;
                queue.add(call);
            } else {
                turnedAway(call, decision.retryAfterMs(), nowMs);
            }
        }
        startNext(nowMs);
    }

    private void turnedAway(Call call, long retryAfterMs, double nowMs) {
        if (call.returned) {
            counts(call, counts -> counts.refusedAgain++);
            counts(call, counts -> counts.refused++);
            return;
        }
        call.returned = true;
        double leftMs = call.firstMs + call.kind.deadlineMs - nowMs;
        schedule(
                nowMs + Math.min(retryAfterMs * (0.75 + decisionRandom.nextDouble() / 2), leftMs / 3),
                at -> enter(call, at));
    }

    private void startNext(double nowMs) {
        while (running < SLOTS && !queue.isEmpty()) {
            Call call = queue.poll();
            running++;
            double busyShare = running / (double) SLOTS;
            double readMs = call.kind.promptTokens(call.large) / READ_TOKENS_PER_MS;
            double firstMs = FIRST_EVENT_BASE_MS + readMs * (1 + 2 * busyShare);
            double stepMs = TOKEN_MS + FULL_SERVICE_TOKEN_MS * busyShare;
            schedule(nowMs + firstMs, at -> firstEvent(call, at));
            schedule(nowMs + firstMs + stepMs * call.kind.outputTokens(call.large), at -> finish(call, at));
        }
    }

    private void firstEvent(Call call, double nowMs) {
        router(call).answered(call.id, nowMs - call.sentMs, nowMs);
        boolean late = nowMs - call.firstMs > call.kind.objectiveMs;
        counts(call, counts -> {
            counts.inTime += late ? 0 : 1;
            counts.late += late ? 1 : 0;
        });
    }

    private void finish(Call call, double nowMs) {
        running--;
        apply(router(call).left(call.id, nowMs - call.sentMs, nowMs, decisionRandom.nextDouble()), nowMs);
    }

    private void counts(Call call, Consumer<KindCounts> change) {
        change.accept(byKind.get(call.kind));
        if (call.large) {
            change.accept(largeByKind.get(call.kind));
        }
        if (call.firstMs > HOT_FROM_MS && call.firstMs < HOT_TO_MS) {
            change.accept(byOrganisationWhileHot.computeIfAbsent(call.organisation, name -> new KindCounts()));
        }
    }

    private RouterPolicy router(Call call) {
        return routers.get(call.router);
    }

    private static double meanServiceMs() {
        double sumMs = 0;
        int samples = 10_000;
        for (int index = 0; index < samples; index++) {
            LoadKind kind = LoadKind.of(index / (double) samples);
            boolean large = index % 10 == 0;
            sumMs += FIRST_EVENT_BASE_MS
                    + 3 * kind.promptTokens(large) / READ_TOKENS_PER_MS
                    + (TOKEN_MS + FULL_SERVICE_TOKEN_MS) * kind.outputTokens(large);
        }
        return sumMs / samples;
    }

    private void schedule(double atMs, Action action) {
        events.add(new Event(atMs, order++, action));
    }

    private interface Action {
        void run(double nowMs);
    }

    private record Event(double atMs, long order, Action action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A request of a caller with its one return. */
    private static final class Call {

        private final LoadKind kind;
        private final boolean large;
        private final OrganisationName organisation;
        private final double firstMs;
        private final int router;
        private String id;
        private double sentMs;
        private boolean returned;

        Call(LoadKind kind, boolean large, OrganisationName organisation, double firstMs, int router) {
            this.kind = kind;
            this.large = large;
            this.organisation = organisation;
            this.firstMs = firstMs;
            this.router = router;
        }
    }
}
