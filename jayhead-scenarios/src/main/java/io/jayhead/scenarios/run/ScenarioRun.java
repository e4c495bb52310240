package io.jayhead.scenarios.run;

import io.jayhead.scenarios.client.HttpReply;
import io.jayhead.scenarios.language.Command;
import io.jayhead.scenarios.language.Scenario;
import io.jayhead.scenarios.language.Step;
import io.jayhead.scenarios.process.ProcessLauncher;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Runs one scenario on its own processes and collects the failures of its steps and checks. */
public final class ScenarioRun implements AutoCloseable {

    private final Scenario scenario;
    private final Deployment deployment;
    private final Operators operators;
    private final Callers callers;
    private final Expectations expectations;
    private final BudgetChecks budgets = new BudgetChecks();
    private final Map<String, Long> notedRuns = new HashMap<>();
    private final FleetText fleet;
    private final List<String> failures = new ArrayList<>();
    private long startNanos;

    private ScenarioRun(Scenario scenario, Path directory) {
        this.scenario = scenario;
        fleet = FleetText.of(scenario.nodes());
        deployment = new Deployment(scenario.name(), new ProcessLauncher(directory));
        operators = new Operators(deployment, fleet);
        callers = new Callers(deployment);
        expectations = new Expectations(deployment, operators, callers, budgets, notedRuns);
    }

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @param directory the directory for the settings and the output of the processes
     * @throws ScenarioFailure if a router is not ready in time, a step fails, an expectation does not hold, or an
     *     answer has wrong tokens or falsely states that its request did not run
     */
    public static void run(Scenario scenario, Path directory) {
        try (ScenarioRun run = new ScenarioRun(scenario, directory)) {
            run.run();
        }
    }

    @Override
    public void close() {
        deployment.close();
    }

    private void run() {
        deployment.start(scenario, fleet);
        deployment
                .servingRouters()
                .forEach(router ->
                        operators.awaitReady(router, Operators.WAIT_LIMIT_MS).ifPresent(failures::add));
        scenario.steps().forEach(this::execute);
        AnswerChecks.violations(callers.all(), deployment).forEach(failures::add);
        if (!failures.isEmpty()) {
            throw new ScenarioFailure(
                    scenario.name() + "\nguards: " + scenario.guards() + "\n" + String.join("\n", failures));
        }
    }

    private void execute(Step step) {
        step.atMs().ifPresent(this::awaitTime);
        try {
            execute(step.command()).ifPresent(failure -> fail(step, failure));
        } catch (IllegalStateException | IllegalArgumentException e) {
            fail(step, e.toString());
        }
    }

    private void fail(Step step, String failure) {
        failures.add("line " + step.line() + ", " + elapsedMs() + " ms: " + step.text() + "\n    found: " + failure);
    }

    /** Waits until a time, counted from the first timed step. */
    private void awaitTime(long atMs) {
        if (startNanos == 0) {
            startNanos = System.nanoTime();
        }
        Poll.sleep(atMs - elapsedMs());
    }

    private long elapsedMs() {
        return startNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private Optional<String> execute(Command command) {
        if (command instanceof Command.Generate generate) {
            callers.generate(generate, operators.outputCap(generate.service()));
        } else if (command instanceof Command.Book book) {
            callers.book(book);
        } else if (command instanceof Command.ReadStatus status) {
            callers.readStatus(status);
        } else if (command instanceof Command.TopUp topUp) {
            return topUp(topUp);
        } else if (command instanceof Command.Apply apply) {
            operators.apply(apply);
        } else if (command instanceof Command.WaitFor waitFor) {
            return waitFor(waitFor);
        } else if (command instanceof Command.Sleep sleep) {
            Poll.sleep(sleep.durationMs());
        } else {
            return executeFaultOrCheck(command);
        }
        return Optional.empty();
    }

    private Optional<String> executeFaultOrCheck(Command command) {
        if (command instanceof Command.Signal signal) {
            deployment.send(signal.signal(), signal.node());
        } else if (command instanceof Command.Start start) {
            deployment.start(start.node());
        } else if (command instanceof Command.InjectFault fault) {
            deployment.inject(fault);
        } else if (command instanceof Command.SetLink link) {
            deployment.setLink(link.state(), link.first(), link.second());
        } else if (command instanceof Command.SetVm vm) {
            HttpReply reply = deployment.setVm(vm.node(), vm.state());
            return reply.isSuccess() ? Optional.empty() : Optional.of(reply.toString());
        } else if (command instanceof Command.NoteRuns note) {
            notedRuns.put(note.engine(), deployment.counts(note.engine()).runs());
        } else {
            return expectations.check(command);
        }
        return Optional.empty();
    }

    private Optional<String> topUp(Command.TopUp command) {
        String router =
                command.router().orElseGet(() -> deployment.servingRouters().get(0));
        Optional<String> failure = operators.topUp(command, router);
        if (failure.isEmpty()) {
            budgets.recordTopUp(command.organisation(), command.budget(), command.topUpId(), command.tokens());
        }
        return failure;
    }

    private Optional<String> waitFor(Command.WaitFor command) {
        if (deployment.isNode(command.id())) {
            boolean ended = deployment
                    .process(command.id())
                    .awaitExit(command.limitMs())
                    .isPresent();
            return ended ? Optional.empty() : Optional.of("still runs");
        }
        Future<?> result =
                callers.contains(command.id()) ? callers.find(command.id()).answer() : operators.change(command.id());
        try {
            result.get(command.limitMs(), TimeUnit.MILLISECONDS);
            return Optional.empty();
        } catch (TimeoutException e) {
            return Optional.of("no answer in time");
        } catch (ExecutionException e) {
            return Optional.of(e.getCause().toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.of("interrupted");
        }
    }
}
