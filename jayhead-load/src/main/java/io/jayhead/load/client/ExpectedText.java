package io.jayhead.load.client;

import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.standins.engine.SyntheticText;

/** Computes the text that the engine stand-in generates for a request. */
final class ExpectedText {

    private ExpectedText() {}

    static String of(PlannedRequest request) {
        SyntheticText text = SyntheticText.of(request.shape().model(), request.prompt());
        StringBuilder expected = new StringBuilder();
        for (int index = 0; index < text.outputTokens(request.maxTokens()); index++) {
            expected.append(text.token(index));
        }
        return expected.toString();
    }
}
