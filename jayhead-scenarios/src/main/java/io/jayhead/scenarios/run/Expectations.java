package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.CallerAnswer;
import io.jayhead.scenarios.language.Command;
import io.jayhead.scenarios.language.Counted;
import io.jayhead.scenarios.language.NodeKind;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Checks the expectations of a scenario. Each check returns the actual state if it fails, or empty if it holds. */
final class Expectations {

    private static final String ALL_KEYS = "*";
    private static final String PROBE_SERVICE = "label";
    private static final int LONG_PROBE_TOKENS = 100;

    private final Deployment deployment;
    private final Operators operators;
    private final Callers callers;
    private final BudgetChecks budgets;
    private final Map<String, Long> notedRuns;

    Expectations(
            Deployment deployment,
            Operators operators,
            Callers callers,
            BudgetChecks budgets,
            Map<String, Long> notedRuns) {
        this.deployment = deployment;
        this.operators = operators;
        this.callers = callers;
        this.budgets = budgets;
        this.notedRuns = notedRuns;
    }

    Optional<String> check(Command command) {
        if (command instanceof Command.ExpectOutcome expected) {
            return operators.contains(expected.id())
                    ? operators.check(expected.id(), expected.outcome())
                    : AnswerChecks.check(callers.find(expected.id()), expected.outcome());
        }
        if (command instanceof Command.ExpectOneAccepted expected) {
            return operators.checkOneAccepted(expected.ids());
        }
        if (command instanceof Command.ExpectCount expected) {
            return Poll.until(expected.withinMs(), () -> checkCount(expected));
        }
        if (command instanceof Command.ExpectNoNewRuns expected) {
            long before = notedRuns.get(expected.engine());
            return checkEqual(before, deployment.counts(expected.engine()).runs());
        }
        if (command instanceof Command.ExpectOverspend expected) {
            return checkEqual(expected.tokens(), budgets.overspentTokens(callers, deployment));
        }
        if (command instanceof Command.ExpectSettled expected) {
            return Poll.until(expected.withinMs(), () -> BudgetChecks.checkSettled(deployment));
        }
        return checkRouters(command);
    }

    private Optional<String> checkRouters(Command command) {
        if (command instanceof Command.ExpectVersion expected) {
            return Poll.until(expected.withinMs(), () -> checkInForce(expected.version()));
        }
        if (command instanceof Command.ExpectVersionAt expected) {
            return Poll.until(
                    expected.withinMs(), () -> checkEqual(expected.version(), operators.version(expected.router())));
        }
        if (command instanceof Command.ExpectRefusing expected) {
            return Poll.until(expected.withinMs(), () -> checkRefusing(expected.router(), expected.code()));
        }
        if (command instanceof Command.ExpectServing expected) {
            return Poll.until(expected.withinMs(), () -> {
                CallerAnswer answer = probe(expected.router());
                return answer.complete() ? Optional.empty() : Optional.of(answer.toString());
            });
        }
        if (command instanceof Command.ExpectReady expected) {
            return operators.awaitReady(expected.router(), expected.withinMs());
        }
        if (command instanceof Command.ExpectExit expected) {
            OptionalInt status = deployment.process(expected.node()).awaitExit(expected.withinMs());
            return status.isPresent() ? checkEqual(expected.status(), status.getAsInt()) : Optional.of("still runs");
        }
        throw new IllegalArgumentException("cannot execute " + command);
    }

    private Optional<String> checkCount(Command.ExpectCount expected) {
        long actual = count(expected.counted(), expected.subject());
        boolean holds = expected.comparison().holds(actual, expected.number());
        return holds ? Optional.empty() : Optional.of(Long.toString(actual));
    }

    private long count(Counted counted, String subject) {
        return switch (counted) {
            case EXECUTIONS -> deployment.counts(NodeKind.BOOKING).executionsOf(subject);
            case BILLS -> bills(subject);
            case RUNS -> deployment.isNode(subject) ? deployment.counts(subject).runs() : runs(subject);
        };
    }

    private long bills(String key) {
        ChargeLogView charges = ChargeLogView.read(deployment.platformUrl());
        if (key.equals(ALL_KEYS)) {
            return charges.bills();
        }
        return callers.all().stream()
                .filter(request -> request.key().equals(key))
                .map(SentRequest::requestKey)
                .distinct()
                .mapToLong(charges::billsOf)
                .sum();
    }

    private long runs(String key) {
        StandinCounts engines = deployment.counts(NodeKind.ENGINE);
        return callers.all().stream()
                .filter(request -> request.key().equals(key))
                .map(SentRequest::requestKey)
                .distinct()
                .mapToLong(requestKey -> engines.executionsWithPrefix(requestKey.value()))
                .sum();
    }

    /**
     * Checks that each router that runs and is not paused uses a version or refuses new work. The length of a probe's
     * answer shows which output cap, and so which version, the router used.
     */
    private Optional<String> checkInForce(long version) {
        for (String router : deployment.servingRouters()) {
            int cap = operators.outputCap(PROBE_SERVICE);
            CallerAnswer answer = callers.probe(router, LONG_PROBE_TOKENS, cap);
            long foundVersion = operators.version(router);
            boolean usesVersion = foundVersion == version && answer.outputTokens() == cap;
            if (!answer.isNotRun() && !usesVersion) {
                return Optional.of(
                        router + " took new work with version " + foundVersion + " and cap " + cap + ": " + answer);
            }
        }
        return Optional.empty();
    }

    private Optional<String> checkRefusing(String router, String code) {
        CallerAnswer answer = probe(router);
        boolean holds = answer.isNotRun() && answer.errorCode().equals(Optional.of(code));
        return holds ? Optional.empty() : Optional.of(answer.toString());
    }

    private CallerAnswer probe(String router) {
        return callers.probe(router, 1, operators.outputCap(PROBE_SERVICE));
    }

    private static Optional<String> checkEqual(long expected, long actual) {
        return expected == actual ? Optional.empty() : Optional.of(Long.toString(actual));
    }
}
