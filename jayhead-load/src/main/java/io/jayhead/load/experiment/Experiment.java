package io.jayhead.load.experiment;

import io.jayhead.load.audit.Audit;
import io.jayhead.load.audit.Evidence;
import io.jayhead.load.audit.EvidenceReader;
import io.jayhead.load.audit.EvidenceSources;
import io.jayhead.load.client.CallerClient;
import io.jayhead.load.client.OpenLoop;
import io.jayhead.load.client.Result;
import io.jayhead.load.measure.Measures;
import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.load.plan.RequestPlan;
import io.jayhead.load.report.RunReport;
import io.jayhead.model.BudgetId;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Runs a mix on a fleet of its own, calm or under one fault. */
public final class Experiment {

    private static final long SETUP_LIMIT_S = 20;
    private static final long DRAIN_MS = 12_000;
    private static final long SILENCE_LIMIT_MS = 10_000;

    /** Lets routers commit the last charges and report their consumption. */
    private static final long SETTLE_MS = 1_500;

    private final ExperimentSettings settings;
    private final PlanSettings planSettings;

    /**
     * Creates an experiment.
     *
     * @param settings its settings
     */
    public Experiment(ExperimentSettings settings) {
        this.settings = settings;
        this.planSettings = new PlanSettings(
                settings.mix(),
                settings.ratePerSecond(),
                settings.durationS(),
                settings.seed(),
                settings.mix().routers(),
                settings.retryShare());
    }

    /**
     * Starts the processes, runs the mix and stops the processes.
     *
     * @return the report
     * @throws InterruptedException if the thread is interrupted
     */
    public RunReport run() throws InterruptedException {
        List<PlannedRequest> plan = RequestPlan.of(planSettings);
        Operators operators = new Operators(LocalFleet.OPERATOR_CREDENTIAL);
        try (LocalFleet fleet = new LocalFleet(settings)) {
            fleet.start();
            setUp(fleet, operators, plan);
            List<Result> results = send(fleet, operators, plan);
            Thread.sleep(SETTLE_MS);
            Evidence evidence =
                    new EvidenceReader(sources(fleet)).read(settings.mix().organisations());
            return new RunReport(
                    settings.name(),
                    settings.ratePerSecond(),
                    settings.durationS(),
                    settings.seed(),
                    Measures.of(results),
                    Audit.of(results, evidence));
        }
    }

    private void setUp(LocalFleet fleet, Operators operators, List<PlannedRequest> plan) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETUP_LIMIT_S);
        String router = lastOperators(fleet);
        try {
            for (int number = 1; number <= settings.mix().routers(); number++) {
                operators.addVm(fleet.platform(), "vm-" + number, FleetText.zone(number - 1));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot list the VMs", e);
        }
        operators.applyFleet(router, fleet.fleetText(), deadlineNs);
        for (Map.Entry<BudgetId, Long> budget : demandTokens(plan).entrySet()) {
            BudgetId id = budget.getKey();
            long tokens = Math.max(1, (long) (budget.getValue() * settings.budgetShare()));
            operators.topUp(router, id.organisation().value(), id.budget().value(), tokens, deadlineNs);
        }
        for (String address : fleet.operators()) {
            operators.awaitReady(address, deadlineNs);
        }
    }

    private static Map<BudgetId, Long> demandTokens(List<PlannedRequest> plan) {
        return plan.stream()
                .collect(Collectors.groupingBy(
                        PlannedRequest::budget, Collectors.summingLong(PlannedRequest::worstCaseTokens)));
    }

    private List<Result> send(LocalFleet fleet, Operators operators, List<PlannedRequest> plan)
            throws InterruptedException {
        try (CallerClient client =
                        new CallerClient(fleet.callers(), FleetText.apiKeys(settings.mix()), SILENCE_LIMIT_MS);
                FaultSchedule faults = new FaultSchedule(fleet, operators, settings.durationS())) {
            faults.start(settings.fault());
            return new OpenLoop(plan, client).run(DRAIN_MS);
        }
    }

    private static EvidenceSources sources(LocalFleet fleet) {
        return new EvidenceSources(
                Optional.of(lastOperators(fleet)),
                LocalFleet.OPERATOR_CREDENTIAL,
                Optional.of(fleet.platform()),
                fleet.bookings());
    }

    /** Faults strike the first router, so the last one stays usable. */
    private static String lastOperators(LocalFleet fleet) {
        return fleet.operators().get(fleet.operators().size() - 1);
    }
}
