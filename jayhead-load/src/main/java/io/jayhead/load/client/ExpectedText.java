package io.jayhead.load.client;

import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.standins.engine.SyntheticText;

/** Recomputes the answer of the engine stand-in. */
final class ExpectedText {

    private ExpectedText() {}

    static String of(PlannedRequest request) {
        SyntheticText text = SyntheticText.of(request.shape().model(), request.prompt());
        StringBuilder whole = new StringBuilder();
        for (int index = 0; index < text.outputTokens(request.maxTokens()); index++) {
            whole.append(text.token(index));
        }
        return whole.toString();
    }
}
