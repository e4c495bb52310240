package io.jayhead.load.report;

import io.jayhead.load.audit.Audit;
import io.jayhead.load.audit.Bill;
import io.jayhead.load.audit.BudgetState;
import io.jayhead.load.audit.Evidence;
import io.jayhead.load.client.Outcome;
import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.client.Result;
import io.jayhead.load.measure.Measures;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.load.plan.RequestPlan;
import io.jayhead.model.BudgetId;
import io.jayhead.model.RequestKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

/** Builds a report with synthetic outcomes and evidence for the approved files. */
final class Samples {

    private static final long NS_PER_MS = 1_000_000;

    private Samples() {}

    static RunReport report() {
        List<Result> results = new ArrayList<>();
        for (PlannedRequest request : RequestPlan.of(new PlanSettings(Mix.USER1, 10, 10, 5, 3, 0.1))) {
            results.add(new Result(request, outcome(request, results.size())));
        }
        return new RunReport("user1", 10, 10, 5, Measures.of(results), Audit.of(results, evidence(results)));
    }

    private static Outcome outcome(PlannedRequest request, int index) {
        if (index % 17 == 3) {
            return Outcome.of(OutcomeType.REFUSED, "budget_exhausted", 20 * NS_PER_MS);
        }
        if (index % 23 == 5) {
            return Outcome.of(OutcomeType.BROKEN, "stream_cut", 900 * NS_PER_MS);
        }
        if (!request.shape().stream()) {
            return new Outcome(OutcomeType.WHOLE, "", 0, (10 + index) * NS_PER_MS, List.of(), 100);
        }
        List<Long> gapsNs = LongStream.range(0, 50)
                .mapToObj(gap -> (20 + gap % 5) * NS_PER_MS)
                .toList();
        return new Outcome(OutcomeType.WHOLE, "", (100 + index) * NS_PER_MS, (1_200 + index) * NS_PER_MS, gapsNs, 100);
    }

    private static Evidence evidence(List<Result> results) {
        List<BudgetState> budgets = Mix.USER1.organisations().stream()
                .map(organisation -> new BudgetState(BudgetId.of(organisation, "main"), 2_000, 800))
                .toList();
        List<Bill> bills = results.stream()
                .filter(result -> result.outcome().type() == OutcomeType.WHOLE)
                .filter(result -> result.request().kind() != RequestKind.STATUS_READ)
                .map(Result::request)
                .map(request -> new Bill(request.requestKey().value(), request.budget(), 100))
                .distinct()
                .toList();
        return new Evidence(Optional.of(budgets), Optional.of(bills), Optional.<Map<String, Integer>>empty());
    }
}
