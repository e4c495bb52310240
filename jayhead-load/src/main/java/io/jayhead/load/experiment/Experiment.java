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

/** Runs a request mix against a new local fleet, without a fault or with one. */
public final class Experiment {

    private static final long SETUP_LIMIT_S = 20;
    private static final long DRAIN_MS = 12_000;
    private static final long SILENCE_LIMIT_MS = 10_000;

    /** Time for routers to commit the last charges and to report their consumption before the evidence is read. */
    private static final long SETTLE_MS = 1_500;

    private final ExperimentSettings settings;
    private final PlanSettings planSettings;

    /**
     * Creates an experiment.
     *
     * @param settings the settings of the experiment
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
     * Starts the fleet, sends the requests, reads the evidence and stops the fleet.
     *
     * @return the report
     * @throws InterruptedException if the thread is interrupted
     */
    public RunReport run() throws InterruptedException {
        List<PlannedRequest> plan = RequestPlan.of(planSettings);
        OperatorClient operatorClient = new OperatorClient(LocalFleet.OPERATOR_CREDENTIAL);
        try (LocalFleet fleet = new LocalFleet(settings)) {
            fleet.start();
            setUp(fleet, operatorClient, plan);
            List<Result> results = send(fleet, operatorClient, plan);
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

    private void setUp(LocalFleet fleet, OperatorClient operatorClient, List<PlannedRequest> plan)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETUP_LIMIT_S);
        String router = lastOperatorsUrl(fleet);
        try {
            for (int number = 1; number <= settings.mix().routers(); number++) {
                operatorClient.addVm(fleet.platformUrl(), "vm-" + number, FleetText.zone(number - 1));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot list the VMs", e);
        }
        operatorClient.applyFleet(router, fleet.fleetText(), deadlineNs);
        for (Map.Entry<BudgetId, Long> demand : demandTokens(plan).entrySet()) {
            BudgetId id = demand.getKey();
            long topUpTokens = Math.max(1, (long) (demand.getValue() * settings.budgetShare()));
            operatorClient.topUp(router, id.organisation().value(), id.budget().value(), topUpTokens, deadlineNs);
        }
        for (String url : fleet.operatorsUrls()) {
            operatorClient.awaitReady(url, deadlineNs);
        }
    }

    private static Map<BudgetId, Long> demandTokens(List<PlannedRequest> plan) {
        return plan.stream()
                .collect(Collectors.groupingBy(
                        PlannedRequest::budget, Collectors.summingLong(PlannedRequest::worstCaseTokens)));
    }

    private List<Result> send(LocalFleet fleet, OperatorClient operatorClient, List<PlannedRequest> plan)
            throws InterruptedException {
        try (CallerClient client =
                        new CallerClient(fleet.callersUrls(), FleetText.apiKeys(settings.mix()), SILENCE_LIMIT_MS);
                FaultSchedule faults = new FaultSchedule(fleet, operatorClient, settings.durationS())) {
            faults.start(settings.fault());
            return new OpenLoop(plan, client).run(DRAIN_MS);
        }
    }

    private static EvidenceSources sources(LocalFleet fleet) {
        return new EvidenceSources(
                Optional.of(lastOperatorsUrl(fleet)),
                LocalFleet.OPERATOR_CREDENTIAL,
                Optional.of(fleet.platformUrl()),
                fleet.bookingUrls());
    }

    /** Returns the operators URL of the last router. Faults affect the first router, so the last one stays usable. */
    private static String lastOperatorsUrl(LocalFleet fleet) {
        return fleet.operatorsUrls().get(fleet.operatorsUrls().size() - 1);
    }
}
