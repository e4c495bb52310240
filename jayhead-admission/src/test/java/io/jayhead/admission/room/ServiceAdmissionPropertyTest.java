package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.model.OrganisationName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against answers "not run" to requests that were sent, against two decisions on one request, and against
 * refusals of urgent requests at the instant at which less urgent ones are admitted.
 */
class ServiceAdmissionPropertyTest {

    private static final int STEPS = 400;
    private static final int MAX_GAP_MS = 60;
    private static final ServiceRoom MOSTLY_FREE = new ServiceRoom(100, 20, 0, 1);

    private final Map<String, RoomVerdict> decided = new HashMap<>();
    private final List<RoomVerdict> inFlight = new ArrayList<>();
    private final Set<String> waiting = new HashSet<>();
    private ServiceAdmission admission = ServiceAdmission.empty();

    @Property(tries = 500)
    void everyRequestGetsOneDecisionAndOnlyThoseThatWereNeverAdmittedAreTurnedAway(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int slowness) {
        play(seed, slowness, ServiceRoom.unknown());
        RoomCircumstances end = new RoomCircumstances(Integer.MAX_VALUE, ServiceRoom.unknown(), 0.5);
        apply(admission.timePassed(end));
        assertTrue(waiting.isEmpty(), "left waiting: " + waiting);
    }

    @Property(tries = 200)
    void nothingIsTurnedAwayWhileUpstreamsReportFreePlaces(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int slowness) {
        play(seed, slowness, MOSTLY_FREE);
        assertTrue(decided.values().stream().allMatch(RoomVerdict::isAdmitted));
    }

    private void play(long seed, int slowness, ServiceRoom room) {
        reset();
        Random random = new Random(seed);
        long nowMs = 1;
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(MAX_GAP_MS);
            RoomCircumstances now = new RoomCircumstances(nowMs, room, random.nextDouble());
            switch (random.nextInt(8)) {
                case 0, 1, 2, 3 -> arrive(Integer.toString(step), random, now);
                case 4, 5 -> leave(random, slowness, now);
                case 6 -> apply(admission.timePassed(now));
                default -> cancel(random);
            }
        }
    }

    /** The instance is used for all tries. */
    private void reset() {
        decided.clear();
        inFlight.clear();
        waiting.clear();
        admission = ServiceAdmission.empty();
    }

    private void arrive(String id, Random random, RoomCircumstances now) {
        int objectiveMs = 100 + random.nextInt(1_000);
        long nowMs = now.atMs();
        RoomRequest request = new RoomRequest(
                id,
                OrganisationName.of("org-" + random.nextInt(3)),
                "route-" + random.nextInt(4),
                random.nextInt(RoomRequest.LAST_RANK + 1),
                nowMs,
                objectiveMs,
                nowMs + objectiveMs - random.nextInt(2) * 400L,
                nowMs + 10L * objectiveMs,
                random.nextInt(10_000));
        waiting.add(id);
        apply(admission.arrived(request, now));
    }

    private void leave(Random random, int slowness, RoomCircumstances now) {
        if (inFlight.isEmpty()) {
            return;
        }
        RoomVerdict ended = inFlight.remove(random.nextInt(inFlight.size()));
        double heldMs = now.atMs() - ended.request().arrivedAtMs();
        admission = admission.answered(ended, slowness * heldMs, now.atMs());
        apply(admission.left(ended, heldMs, now));
    }

    private void cancel(Random random) {
        if (waiting.isEmpty()) {
            return;
        }
        String id = List.copyOf(waiting).get(random.nextInt(waiting.size()));
        waiting.remove(id);
        admission = admission.cancelled(id);
    }

    private void apply(RoomStep step) {
        admission = step.next();
        for (RoomVerdict verdict : step.verdicts()) {
            String id = verdict.request().id();
            assertTrue(waiting.remove(id), "decided without waiting: " + id);
            assertFalse(decided.containsKey(id), "decided twice: " + id);
            decided.put(id, verdict);
            if (verdict.isAdmitted()) {
                inFlight.add(verdict);
            }
        }
        assertUrgentGoesFirst(step.verdicts());
    }

    /** A rank keeps a share of its own; beyond it, nothing less urgent is admitted while a request is refused. */
    private static void assertUrgentGoesFirst(List<RoomVerdict> verdicts) {
        for (RoomVerdict refused : verdicts) {
            if (refused.decision() != RoomDecision.REFUSED) {
                continue;
            }
            boolean lessUrgentAdmitted = verdicts.stream()
                    .filter(RoomVerdict::isAdmitted)
                    .anyMatch(verdict -> verdict.rank() > refused.rank());
            assertFalse(lessUrgentAdmitted, () -> "refused " + refused + " beside " + verdicts);
        }
    }
}
