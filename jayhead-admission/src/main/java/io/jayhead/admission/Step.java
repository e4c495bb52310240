package io.jayhead.admission;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** Accumulates the new state and the commands while one event is handled; immutable. */
record Step(AdmissionState state, List<AdmissionCommand> commands, long nowMs) {

    static Step of(AdmissionState state, long nowMs) {
        return new Step(state, List.of(), nowMs);
    }

    Step with(AdmissionState next) {
        return new Step(next, commands, nowMs);
    }

    Step emit(AdmissionCommand command) {
        List<AdmissionCommand> next = new ArrayList<>(commands);
        next.add(command);
        return new Step(state, next, nowMs);
    }

    Step then(UnaryOperator<Step> operation) {
        return operation.apply(this);
    }

    Step refuse(AdmissionRequest request, ErrorCode code, String message) {
        return with(state.withoutWaiting(request.id())).emit(new AdmissionCommand.Refuse(request.id(), code, message));
    }

    Transition<AdmissionState, AdmissionCommand> toTransition() {
        return new Transition<>(state, commands);
    }
}
