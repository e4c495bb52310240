package io.jayhead.load.baseline;

import io.jayhead.load.plan.PlanSettings;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.load.plan.RequestPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Simulates each budget policy on the same requests and compares the results. */
public final class BaselineComparison {

    /**
     * With the first two shares, every policy refuses requests; with the last, a single shared balance would refuse
     * none.
     */
    private static final List<Double> BUDGET_SHARES = List.of(0.5, 0.9, 1.2);

    private static final String HEADER = """
            | budget / demand | policy | generations | refused | false refusals | stranded tokens | overspend tokens \
            | tokens served | ledger writes |
            | --- | --- | --- | --- | --- | --- | --- | --- | --- |
            """;

    private BaselineComparison() {}

    /**
     * Simulates all policies, each with several budget sizes.
     *
     * @param settings the settings of the plan
     * @return one result for each policy and budget size
     */
    public static List<PolicyResult> run(PlanSettings settings) {
        List<PlannedRequest> plan = RequestPlan.of(settings);
        List<PolicyResult> results = new ArrayList<>();
        for (double share : BUDGET_SHARES) {
            for (BudgetPolicy policy : BudgetPolicy.values()) {
                results.add(new PolicySimulation(policy, share).run(plan, settings.routers()));
            }
        }
        return results;
    }

    /**
     * Renders results as a Markdown table.
     *
     * @param results the results
     * @return the table
     */
    public static String table(List<PolicyResult> results) {
        StringBuilder table = new StringBuilder(HEADER);
        for (PolicyResult result : results) {
            table.append(String.format(
                    Locale.ROOT,
                    "| %.2f | %s | %d | %d | %d | %d | %d | %d | %d |\n",
                    result.budgetShare(),
                    result.policy().text(),
                    result.requests(),
                    result.refusals(),
                    result.falseRefusals(),
                    result.strandedTokens(),
                    result.overspendTokens(),
                    result.consumedTokens(),
                    result.ledgerWrites()));
        }
        return table.toString();
    }
}
