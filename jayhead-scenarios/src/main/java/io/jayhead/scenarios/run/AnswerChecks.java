package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.CallerAnswer;
import io.jayhead.scenarios.client.ReceivedToken;
import io.jayhead.scenarios.language.NodeKind;
import io.jayhead.scenarios.language.Outcome;
import io.jayhead.standins.engine.SyntheticText;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks answers against the text that the prompt determines and against what the stand-ins executed. */
final class AnswerChecks {

    private AnswerChecks() {}

    /** Returns what is wrong with the outcome of a request, or empty. */
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
            return Optional.of("is no configuration change");
        }
        return holds ? Optional.empty() : Optional.of(answer.toString());
    }

    /** Returns the untrue tokens and untrue refusals of all requests. */
    static List<String> standingFaults(List<SentRequest> requests, Deployment deployment) {
        List<String> faults = new ArrayList<>();
        requests.forEach(request -> request.received()
                .flatMap(answer -> untrueText(request, answer))
                .ifPresent(faults::add));
        StandinCounts engines = deployment.counts(NodeKind.ENGINE);
        StandinCounts bookings = deployment.counts(NodeKind.BOOKING);
        requests.stream()
                .filter(request -> isRefused(request) && onlyRefused(request, requests))
                .filter(request -> executions(request, engines, bookings) > 0)
                .forEach(request -> faults.add(request.id() + " ran although it was refused as not run"));
        return faults;
    }

    private static boolean isWhole(SentRequest request, CallerAnswer answer) {
        if (!answer.complete()) {
            return false;
        }
        if (!request.isGeneration()) {
            return true;
        }
        SyntheticText truth = truth(request);
        int length = truth.outputTokens(request.outputCap());
        return answer.text().equals(text(truth, length))
                && answer.verdict().equals(Optional.of("ran"))
                && answer.outputTokens() == length
                && answer.promptTokens() == truth.promptTokens();
    }

    /** Compares what arrived with the start of the true answer, whether or not the answer is complete. */
    private static Optional<String> untrueText(SentRequest request, CallerAnswer answer) {
        if (!request.isGeneration()) {
            return Optional.empty();
        }
        SyntheticText truth = truth(request);
        int expectedIndex = 0;
        for (ReceivedToken token : answer.tokens()) {
            if (token.index() != expectedIndex++) {
                return Optional.of(request.id() + " got token " + token.index() + " instead of " + --expectedIndex);
            }
        }
        String whole = text(truth, truth.outputTokens(request.outputCap()));
        return whole.startsWith(answer.text())
                ? Optional.empty()
                : Optional.of(request.id() + " got a text that is not its own: " + answer.text());
    }

    private static boolean isRefused(SentRequest request) {
        return request.received().filter(CallerAnswer::isNotRun).isPresent();
    }

    private static boolean onlyRefused(SentRequest request, List<SentRequest> requests) {
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

    private static SyntheticText truth(SentRequest request) {
        return SyntheticText.of(FleetText.MODEL, request.prompt());
    }

    private static String text(SyntheticText truth, int length) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < length; index++) {
            text.append(truth.token(index));
        }
        return text.toString();
    }
}
