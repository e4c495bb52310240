package io.jayhead.admission.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.admission.overload.ServiceRoom;
import io.jayhead.model.OrganisationName;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an order among the waiting requests that costs callers more than another one. */
class ServiceAdmissionTest {

    private static final int OBJECTIVE_MS = 1_000;
    private static final int DEADLINE_MS = 20_000;
    private static final int HOLD_MS = 20;

    private final List<RoomVerdict> inFlight = new ArrayList<>();
    private ServiceAdmission admission = ServiceAdmission.empty();
    private long nowMs = 1;

    /** Learns a limit of a few requests, which are then all in flight. */
    @BeforeEach
    void overloadTheService() {
        for (int request = 0; request < 200; request++) {
            nowMs += 20;
            arrive(request("fill-" + request, 5, 0, 1_000));
            if (inFlight.size() > 4) {
                RoomVerdict ended = inFlight.remove(0);
                admission = admission.answered(ended, 2 * OBJECTIVE_MS, nowMs);
                apply(admission.left(ended, HOLD_MS, at()));
            }
        }
        for (int request = 0; request < 20; request++) {
            arrive(request("fill-last-" + request, 5, 0, 1_000));
        }
    }

    @Test
    void aMoreUrgentRequestGoesBeforeOneThatCameFirst() {
        arrive(request("urgent", 0, 0, 1_000));
        assertEquals("urgent", firstAdmitted());
    }

    @Test
    void aRequestWhoseObjectiveIsOutOfReachYieldsToOneThatCanBeInTime() {
        arrive(request("late", 4, 2 * OBJECTIVE_MS, 1_000));
        arrive(request("in time", 4, 0, 1_000));
        assertEquals("in time", firstAdmitted());
    }

    @Test
    void ofTwoRequestsWithTheSameSlackTheOneThatNeedsLessWorkGoesFirst() {
        arrive(request("large", 4, 0, 50_000));
        arrive(request("small", 4, 0, 100));
        assertEquals("small", firstAdmitted());
    }

    @Test
    void aLargeRequestThatHasWaitedGoesBeforeASmallOneThatJustCame() {
        arrive(request("large", 4, 0, 50_000));
        nowMs += 600;
        arrive(request("small", 4, 0, 100));
        assertEquals("large", firstAdmitted());
    }

    @Test
    void aCallerThatReturnsGoesBeforeOneThatJustCame() {
        arrive(request("new", 4, 0, 1_000));
        arrive(request("returned", 4, 300, 1_000));
        assertEquals("returned", firstAdmitted());
    }

    @Test
    void manyMoreUrgentRequestsDisplaceTheLeastUrgentAtOnce() {
        arrive(request("least", 9, 0, 1_000));
        List<RoomVerdict> verdicts = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            verdicts.addAll(arrive(request("urgent-" + index, 0, 0, 1_000)));
        }
        RoomVerdict displaced = verdicts.stream()
                .filter(verdict -> verdict.request().id().equals("least"))
                .findFirst()
                .orElseThrow();
        assertEquals(RoomDecision.DISPLACED, displaced.decision());
        assertTrue(displaced.roomInMs() > 0);
    }

    private String firstAdmitted() {
        for (RoomVerdict ended : List.copyOf(inFlight)) {
            nowMs += 1;
            for (RoomVerdict verdict : apply(admission.left(ended, HOLD_MS, at()))) {
                if (verdict.isAdmitted() && !verdict.request().id().startsWith("fill")) {
                    return verdict.request().id();
                }
            }
        }
        return "none";
    }

    private List<RoomVerdict> arrive(RoomRequest request) {
        return apply(admission.arrived(request, at()));
    }

    private List<RoomVerdict> apply(RoomStep step) {
        admission = step.next();
        step.verdicts().stream().filter(RoomVerdict::isAdmitted).forEach(inFlight::add);
        return step.verdicts();
    }

    private RoomRequest request(String id, int rank, long triedForMs, double work) {
        return new RoomRequest(
                id,
                OrganisationName.of("org-" + id.replace(' ', '-')),
                id.startsWith("fill") ? "slow-route" : "route",
                rank,
                nowMs,
                OBJECTIVE_MS,
                nowMs + OBJECTIVE_MS - triedForMs,
                nowMs + DEADLINE_MS,
                work);
    }

    private RoomCircumstances at() {
        return new RoomCircumstances(nowMs, ServiceRoom.unknown(), 0.5);
    }
}
