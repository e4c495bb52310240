package io.jayhead.admission.room;

import io.jayhead.admission.overload.ServiceRoom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The order by cost, as {@link ServiceAdmission} decides. */
final class CostOrderPolicy implements RouterPolicy {

    private final Map<String, RoomVerdict> admitted = new HashMap<>();
    private ServiceAdmission admission = ServiceAdmission.empty();

    @Override
    public List<Decision> arrived(RoomRequest request, double nowMs, double draw) {
        return apply(admission.arrived(request, at(nowMs, draw)), nowMs);
    }

    @Override
    public List<Decision> left(String id, double heldMs, double nowMs, double draw) {
        return apply(admission.left(admitted.remove(id), heldMs, at(nowMs, draw)), nowMs);
    }

    @Override
    public List<Decision> timePassed(double nowMs) {
        return apply(admission.timePassed(at(nowMs, 0.5)), nowMs);
    }

    @Override
    public void answered(String id, double answerMs, double nowMs) {
        admission = admission.answered(admitted.get(id), answerMs, (long) nowMs);
    }

    private List<Decision> apply(RoomStep step, double nowMs) {
        admission = step.next();
        return step.verdicts().stream().map(verdict -> decision(verdict, nowMs)).toList();
    }

    private Decision decision(RoomVerdict verdict, double nowMs) {
        if (verdict.isAdmitted()) {
            admitted.put(verdict.request().id(), verdict);
        }
        long overloadMs = admission.overloadMs((long) nowMs);
        return new Decision(
                verdict.request().id(),
                verdict.isAdmitted(),
                Math.max(FairQueuePolicy.retryAfterMs(overloadMs), verdict.roomInMs()));
    }

    private static RoomCircumstances at(double nowMs, double draw) {
        return new RoomCircumstances((long) nowMs, ServiceRoom.unknown(), draw);
    }
}
