package io.jayhead.load.baseline;

import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.load.plan.PlannedRequest;
import io.jayhead.model.BudgetId;
import io.jayhead.standins.engine.SyntheticText;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** Simulates the generations of a plan under one policy in virtual time. */
final class PolicySimulation {

    private static final long NS_PER_MS = 1_000_000;
    private static final long INITIAL_GRANT_TOKENS = 2_000;

    /** Token times: the defaults of the engine stand-in. */
    private static final long FIRST_TOKEN_MS = 100;

    private static final long TOKEN_MS = 20;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<String, SharedBudget> budgets = new HashMap<>();
    private final Set<String> refusedOrganisations = new HashSet<>();
    private final BudgetPolicy policy;
    private final double budgetShare;
    private long sequence;
    private long refusals;
    private long falseRefusals;

    private record Event(long atMs, long sequence, Runnable action) {}

    PolicySimulation(BudgetPolicy policy, double budgetShare) {
        this.policy = policy;
        this.budgetShare = budgetShare;
    }

    PolicyResult run(List<PlannedRequest> plan, int routers) {
        List<PlannedRequest> generations = plan.stream()
                .filter(request -> request.kind().isGeneration() && !request.retry())
                .toList();
        Map<String, Long> demand = new HashMap<>();
        generations.forEach(request -> demand.merge(request.organisation(), usedTokens(request), Long::sum));
        demand.forEach((organisation, tokens) -> budgets.put(
                organisation,
                new SharedBudget(
                        BudgetId.of(organisation, "main"),
                        policy,
                        GrantSizer.of(INITIAL_GRANT_TOKENS),
                        (long) (tokens * budgetShare),
                        routers)));
        generations.forEach(request -> schedule(request.arrivalNs() / NS_PER_MS, () -> handleArrival(request)));
        while (!events.isEmpty()) {
            events.poll().action().run();
        }
        return result(generations.size());
    }

    private void handleArrival(PlannedRequest request) {
        SharedBudget budget = budgets.get(request.organisation());
        long nowMs = request.arrivalNs() / NS_PER_MS;
        long unusedTokens = budget.unusedTokens();
        if (!budget.reserve(request.router(), request.key(), request.worstCaseTokens(), nowMs)) {
            refusals++;
            falseRefusals += request.worstCaseTokens() <= unusedTokens ? 1 : 0;
            refusedOrganisations.add(request.organisation());
            return;
        }
        SyntheticText text = text(request);
        long promptBoundTokens = request.worstCaseTokens() - request.maxTokens();
        long firstTokenMs = nowMs + FIRST_TOKEN_MS;
        schedule(
                firstTokenMs,
                () -> budget.reduce(request.router(), request.key(), promptBoundTokens - text.promptTokens()));
        schedule(
                firstTokenMs + text.outputTokens(request.maxTokens()) * TOKEN_MS,
                () -> budget.settle(request.router(), request.key(), usedTokens(request)));
    }

    private PolicyResult result(long requests) {
        return new PolicyResult(
                policy,
                budgetShare,
                requests,
                refusals,
                falseRefusals,
                refusedOrganisations.stream()
                        .mapToLong(organisation -> budgets.get(organisation).heldTokens())
                        .sum(),
                budgets.values().stream()
                        .mapToLong(SharedBudget::overspendTokens)
                        .sum(),
                budgets.values().stream()
                        .mapToLong(SharedBudget::consumedTokens)
                        .sum(),
                budgets.values().stream().mapToLong(SharedBudget::ledgerWrites).sum());
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    private static SyntheticText text(PlannedRequest request) {
        return SyntheticText.of(request.shape().model(), request.prompt());
    }

    private static long usedTokens(PlannedRequest request) {
        SyntheticText text = text(request);
        return text.promptTokens() + (long) text.outputTokens(request.maxTokens());
    }
}
