package io.jayhead.admission;

import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantBook;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Asks the platform and then the peers for the tokens that waiting requests lack. */
final class GrantSeeker {

    /** A lost answer must not block a budget for good; a late one is still counted. */
    private static final long ASK_TIMEOUT_MS = 5_000;

    private GrantSeeker() {}

    /** Asks for every budget whose waiting requests lack tokens. */
    static Step seekForWaiting(Step step) {
        Step next = step;
        for (Map.Entry<BudgetId, List<AdmissionRequest>> waiting :
                waitingByBudget(step.state()).entrySet()) {
            next = seek(next, waiting.getKey(), waiting.getValue());
        }
        return next;
    }

    /** Asks for a budget when its balance runs low. */
    static Step seekAhead(Step step, BudgetId budget) {
        GrantAccount account = step.state().book().account(budget);
        double rate = step.state().demand(budget, step.nowMs()).rate().at(step.nowMs());
        boolean low = step.state().settings().sizer().isLow(account.availableTokens(), rate);
        return low ? askPlatform(step, budget, 0, 0) : step;
    }

    /** Treats asks without an answer as unanswered for good. */
    static Step timeOut(Step step) {
        Step next = step;
        for (BudgetId budget : waitingByBudget(step.state()).keySet()) {
            BudgetDemand demand = step.state().demand(budget, step.nowMs());
            if (demand.isAskOverdue(step.nowMs(), ASK_TIMEOUT_MS)) {
                next = demand.ask() == AskState.PLATFORM
                        ? platformFailed(next, budget, PlatformAnswer.UNAVAILABLE, 0)
                        : peersRefused(next, budget);
            }
        }
        return next;
    }

    /** Goes on to the peers after the platform gave nothing. */
    static Step platformFailed(Step step, BudgetId budget, PlatformAnswer answer, long unallocatedTokens) {
        BudgetDemand demand = step.state().demand(budget, step.nowMs()).answered(answer, unallocatedTokens);
        Step answered = step.with(step.state().withDemand(budget, demand));
        long missing = missingTokens(answered.state(), budget);
        if (missing <= 0) {
            return answered.with(answered.state().withDemand(budget, demand.backedOff(step.nowMs())));
        }
        long number = answered.state().transfers() + 1;
        String transferId = answered.state().settings().incarnation().value() + "/" + number;
        AdmissionState asking = answered.state()
                .withTransfers(number)
                .withBook(answered.state().book().expectLoan(budget, transferId))
                .withDemand(budget, demand.asking(AskState.PEERS, missing, step.nowMs()));
        return answered.with(asking).then(new AdmissionCommand.AskPeers(budget, missing, transferId));
    }

    /** Refuses what cannot be covered any more and waits for refunds with the rest. */
    static Step peersRefused(Step step, BudgetId budget) {
        BudgetDemand demand = step.state().demand(budget, step.nowMs());
        Step next = step.with(step.state().withDemand(budget, demand.backedOff(step.nowMs())));
        if (demand.platform() != PlatformAnswer.REFUSED) {
            return next;
        }
        GrantAccount account = step.state().book().account(budget);
        long reachable = account.availableTokens() + account.reservedTokens() + demand.unallocatedTokens();
        for (AdmissionRequest request : waitingByBudget(step.state()).getOrDefault(budget, List.of())) {
            if (request.worstCaseTokens() > reachable) {
                next = next.refuse(
                        request,
                        ErrorCode.BUDGET_EXHAUSTED,
                        "budget " + budget + " cannot cover " + request.worstCaseTokens() + " tokens");
            }
        }
        return next;
    }

    private static Step seek(Step step, BudgetId budget, List<AdmissionRequest> requests) {
        long available = step.state().book().account(budget).availableTokens();
        long missing = totalTokens(requests) - available;
        if (missing <= 0) {
            return step;
        }
        return askPlatform(step, budget, Math.max(0, requests.get(0).worstCaseTokens() - available), missing);
    }

    private static Step askPlatform(Step step, BudgetId budget, long minimumTokens, long missingTokens) {
        AdmissionState state = step.state();
        BudgetDemand demand = state.demand(budget, step.nowMs());
        GrantAccount account = state.book().account(budget);
        if (account.voided() || !demand.mayAsk(step.nowMs())) {
            return step;
        }
        GrantSizer sizer = state.settings().sizer();
        long tokens = sizer.desiredTokens(demand.rate().at(step.nowMs()), missingTokens);
        long limit = account.lentTokens() + sizer.lendingAllowanceTokens(account.availableTokens() + tokens);
        GrantBook lowered =
                limit < account.lendingLimitTokens() ? state.book().withLendingLimit(budget, limit) : state.book();
        return step.with(state.withBook(lowered)
                        .withDemand(budget, demand.asking(AskState.PLATFORM, tokens, step.nowMs())))
                .then(new AdmissionCommand.AskPlatform(budget, minimumTokens, tokens, limit));
    }

    private static long missingTokens(AdmissionState state, BudgetId budget) {
        long needed = totalTokens(waitingByBudget(state).getOrDefault(budget, List.of()));
        return needed - state.book().account(budget).availableTokens();
    }

    private static long totalTokens(List<AdmissionRequest> requests) {
        return requests.stream().mapToLong(AdmissionRequest::worstCaseTokens).sum();
    }

    private static Map<BudgetId, List<AdmissionRequest>> waitingByBudget(AdmissionState state) {
        Map<BudgetId, List<AdmissionRequest>> byBudget = new LinkedHashMap<>();
        state.queue().waiting().stream()
                .flatMap(queued -> state.waiting().get(queued.id()).stream())
                .filter(request -> request.worstCaseTokens() > 0)
                .forEach(request -> byBudget.computeIfAbsent(request.budget(), key -> new ArrayList<>())
                        .add(request));
        return byBudget;
    }
}
