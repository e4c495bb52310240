package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.CallerAnswer;
import io.jayhead.scenarios.client.ReceivedToken;
import io.jayhead.scenarios.language.NodeKind;
import io.jayhead.scenarios.language.Outcome;
import io.jayhead.standins.engine.SyntheticText;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks answers against the text that their prompts determine and against the executions at the stand-ins. */
final class AnswerChecks {

    private AnswerChecks() {}

    /** Checks the outcome of a request. Returns the actual outcome if it differs from the expected one, or empty. */
    static Optional<String> check(SentRequest request, Outcome outcome) {
        Optional<CallerAnswer> received = request.received();
        if (received.isEmpty()) {
            return Optional.of("no answer yet");
        }
        CallerAnswer answer = received.get();
        boolean holds;
        if (outcome instanceof Outcome.Whole) {
            holds = isWhole(request, answer);
        } else if (outcome instanceof Outcome.Broken) {
            holds = !answer.complete() && !answer.isNotRun();
        } else if (outcome instanceof Outcome.Refused refused) {
            holds = answer.isNotRun() && answer.errorCode().equals(Optional.of(refused.code()));
        } else if (outcome instanceof Outcome.HasVerdict expected) {
            holds = answer.verdict().equals(Optional.of(expected.verdict()));
        } else {
            return Optional.of("is not a configuration change");
        }
        return holds ? Optional.empty() : Optional.of(answer.toString());
    }

    /**
     * Returns the violations in all answers: wrong tokens, and requests that ran although all attempts with their key
     * were refused as not run.
     */
    static List<String> violations(List<SentRequest> requests, Deployment deployment) {
        List<String> violations = new ArrayList<>();
        requests.forEach(request ->
                request.received().flatMap(answer -> checkText(request, answer)).ifPresent(violations::add));
        StandinCounts engines = deployment.counts(NodeKind.ENGINE);
        StandinCounts bookings = deployment.counts(NodeKind.BOOKING);
        requests.stream()
                .filter(request -> isRefused(request) && allAttemptsRefused(request, requests))
                .filter(request -> executions(request, engines, bookings) > 0)
                .forEach(request -> violations.add(request.id() + " ran although it was refused as not run"));
        return violations;
    }

    private static boolean isWhole(SentRequest request, CallerAnswer answer) {
        if (!answer.complete()) {
            return false;
        }
        if (!request.isGeneration()) {
            return true;
        }
        SyntheticText expectedText = expectedText(request);
        int length = expectedText.outputTokens(request.outputCap());
        return answer.text().equals(joinTokens(expectedText, length))
                && answer.verdict().equals(Optional.of("ran"))
                && answer.outputTokens() == length
                && answer.promptTokens() == expectedText.promptTokens();
    }

    /** Checks that the received text is a prefix of the expected one, whether or not the answer is complete. */
    private static Optional<String> checkText(SentRequest request, CallerAnswer answer) {
        if (!request.isGeneration()) {
            return Optional.empty();
        }
        SyntheticText expectedText = expectedText(request);
        int expectedIndex = 0;
        for (ReceivedToken token : answer.tokens()) {
            if (token.index() != expectedIndex++) {
                return Optional.of(request.id() + " got token " + token.index() + " instead of " + --expectedIndex);
            }
        }
        String wholeText = joinTokens(expectedText, expectedText.outputTokens(request.outputCap()));
        return wholeText.startsWith(answer.text())
                ? Optional.empty()
                : Optional.of(request.id() + " got a text that does not match its prompt: " + answer.text());
    }

    private static boolean isRefused(SentRequest request) {
        return request.received().filter(CallerAnswer::isNotRun).isPresent();
    }

    private static boolean allAttemptsRefused(SentRequest request, List<SentRequest> requests) {
        return requests.stream()
                .filter(other -> other.requestKey().equals(request.requestKey()))
                .allMatch(AnswerChecks::isRefused);
    }

    private static long executions(SentRequest request, StandinCounts engines, StandinCounts bookings) {
        if (request.isGeneration()) {
            return engines.executionsWithPrefix(request.requestKey().value());
        }
        return request.service().equals(FleetText.BOOKING_SERVICE) ? bookings.executionsOf(request.key()) : 0;
    }

    private static SyntheticText expectedText(SentRequest request) {
        return SyntheticText.of(FleetText.MODEL, request.prompt());
    }

    private static String joinTokens(SyntheticText expectedText, int length) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < length; index++) {
            text.append(expectedText.token(index));
        }
        return text.toString();
    }
}
