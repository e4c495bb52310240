package io.jayhead.scenarios.language;

import java.util.Arrays;

/** Parses the words after {@code expect} in a scenario line. */
final class ExpectationReader {

    private ExpectationReader() {}

    static Command read(Words words) {
        String subject = words.word();
        return switch (subject) {
            case "overspend" -> new Command.ExpectOverspend(words.expect("=").number());
            case "one" ->
                new Command.ExpectOneAccepted(
                        words.expect("accepted").expect("of").rest());
            case "no" ->
                new Command.ExpectNoNewRuns(
                        words.expect("new").expect("runs").expect("at").word());
            case "ledgers" -> new Command.ExpectSettled(words.expect("settled").optionalDurationMs("within", 0));
            case "version" -> version(words);
            case "router" -> router(words);
            case "exit" -> exit(words);
            default ->
                Arrays.stream(Counted.values())
                        .filter(counted -> counted.text().equals(subject))
                        .findFirst()
                        .map(counted -> count(counted, words))
                        .orElseGet(() -> new Command.ExpectOutcome(subject, outcome(words)));
        };
    }

    private static Command version(Words words) {
        long version = words.number();
        if (words.take("at")) {
            return new Command.ExpectVersionAt(words.word(), version, words.optionalDurationMs("within", 0));
        }
        words.expect("in").expect("force");
        return new Command.ExpectVersion(version, words.optionalDurationMs("within", 0));
    }

    private static Command router(Words words) {
        String router = words.word();
        if (words.take("serves")) {
            return new Command.ExpectServing(router, words.optionalDurationMs("within", 0));
        }
        if (words.take("ready")) {
            return new Command.ExpectReady(router, words.optionalDurationMs("within", 0));
        }
        String code = words.expect("refuses").word();
        return new Command.ExpectRefusing(router, code, words.optionalDurationMs("within", 0));
    }

    private static Command exit(Words words) {
        String node = words.expect("of").word();
        int status = words.expect("=").intNumber();
        return new Command.ExpectExit(node, status, words.optionalDurationMs("within", 0));
    }

    private static Command count(Counted counted, Words words) {
        String subject = words.word();
        String symbol = words.word();
        Comparison comparison = Arrays.stream(Comparison.values())
                .filter(value -> value.symbol().equals(symbol))
                .findFirst()
                .orElseThrow(() -> words.syntaxError("expected =, <= or >="));
        long number = words.number();
        return new Command.ExpectCount(counted, subject, comparison, number, words.optionalDurationMs("within", 0));
    }

    private static Outcome outcome(Words words) {
        return switch (words.word()) {
            case "whole" -> new Outcome.Whole();
            case "broken" -> new Outcome.Broken();
            case "refused" -> new Outcome.Refused(words.word());
            case "verdict" -> new Outcome.HasVerdict(words.word());
            case "accepted" -> new Outcome.Accepted(words.number());
            case "conflict" -> new Outcome.Conflict(words.number());
            default -> throw words.syntaxError("unknown expectation");
        };
    }
}
