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

/** Requests the tokens that waiting requests lack, first from the platform and then from the peers. */
final class TokenRequester {

    /** Keeps a lost answer from blocking a budget forever; tokens that arrive later are still added. */
    private static final long TOKEN_REQUEST_TIMEOUT_MS = 5_000;

    private TokenRequester() {}

    /** Requests grants for all budgets whose waiting requests lack tokens. */
    static Step requestForWaiting(Step step) {
        Step next = step;
        for (Map.Entry<BudgetId, List<AdmissionRequest>> waiting :
                waitingByBudget(step.state()).entrySet()) {
            next = requestMissing(next, waiting.getKey(), waiting.getValue());
        }
        return next;
    }

    /** Requests a grant before it is needed, if the available tokens of the budget run low. */
    static Step requestAhead(Step step, BudgetId budget) {
        GrantAccount account = step.state().book().account(budget);
        double tokensPerSecond =
                step.state().demand(budget, step.nowMs()).rate().at(step.nowMs());
        boolean isLow = step.state().settings().sizer().isLow(account.availableTokens(), tokensPerSecond);
        return isLow ? requestGrant(step, budget, 0, 0) : step;
    }

    /** Handles overdue token requests as failed, for the budgets that have waiting requests. */
    static Step expireTokenRequests(Step step) {
        Step next = step;
        for (BudgetId budget : waitingByBudget(step.state()).keySet()) {
            BudgetDemand demand = step.state().demand(budget, step.nowMs());
            if (demand.isTokenRequestOverdue(step.nowMs(), TOKEN_REQUEST_TIMEOUT_MS)) {
                next = demand.requestState() == TokenRequestState.PLATFORM
                        ? grantFailed(next, budget, PlatformAnswer.UNAVAILABLE, 0)
                        : loanFailed(next, budget);
            }
        }
        return next;
    }

    /** Requests a loan from the peers, if waiting requests still lack tokens after the platform granted none. */
    static Step grantFailed(Step step, BudgetId budget, PlatformAnswer answer, long unallocatedTokens) {
        BudgetDemand demand = step.state().demand(budget, step.nowMs()).withAnswer(answer, unallocatedTokens);
        Step afterAnswer = step.with(step.state().withDemand(budget, demand));
        long missingTokens = missingTokens(afterAnswer.state(), budget);
        if (missingTokens <= 0) {
            return afterAnswer.with(afterAnswer.state().withDemand(budget, demand.withBackoff(step.nowMs())));
        }
        long loanNumber = afterAnswer.state().requestedLoans() + 1;
        String transferId = afterAnswer.state().settings().incarnation().value() + "/" + loanNumber;
        AdmissionState afterRequest = afterAnswer
                .state()
                .withRequestedLoans(loanNumber)
                .withBook(afterAnswer.state().book().expectLoan(budget, transferId))
                .withDemand(budget, demand.withTokenRequest(TokenRequestState.PEERS, missingTokens, step.nowMs()));
        return afterAnswer.with(afterRequest).emit(new AdmissionCommand.RequestLoan(budget, missingTokens, transferId));
    }

    /**
     * Backs off, and refuses the waiting requests that neither refunds nor the unallocated tokens can cover.
     *
     * <p>Refuses only after the platform refused the grant, because otherwise the unallocated tokens are not known.
     * Requests that a refund can still cover keep waiting.
     */
    static Step loanFailed(Step step, BudgetId budget) {
        BudgetDemand demand = step.state().demand(budget, step.nowMs());
        Step next = step.with(step.state().withDemand(budget, demand.withBackoff(step.nowMs())));
        if (demand.platformAnswer() != PlatformAnswer.REFUSED) {
            return next;
        }
        GrantAccount account = step.state().book().account(budget);
        long reachableTokens = account.availableTokens() + account.reservedTokens() + demand.unallocatedTokens();
        for (AdmissionRequest request : waitingByBudget(step.state()).getOrDefault(budget, List.of())) {
            if (request.worstCaseTokens() > reachableTokens) {
                next = next.refuse(
                        request,
                        ErrorCode.BUDGET_EXHAUSTED,
                        "budget " + budget + " cannot cover " + request.worstCaseTokens() + " tokens");
            }
        }
        return next;
    }

    private static Step requestMissing(Step step, BudgetId budget, List<AdmissionRequest> requests) {
        long availableTokens = step.state().book().account(budget).availableTokens();
        long missingTokens = totalTokens(requests) - availableTokens;
        if (missingTokens <= 0) {
            return step;
        }
        return requestGrant(
                step, budget, Math.max(0, requests.get(0).worstCaseTokens() - availableTokens), missingTokens);
    }

    private static Step requestGrant(Step step, BudgetId budget, long minimumTokens, long missingTokens) {
        AdmissionState state = step.state();
        BudgetDemand demand = state.demand(budget, step.nowMs());
        GrantAccount account = state.book().account(budget);
        if (account.reclaimed() || !demand.mayRequestTokens(step.nowMs())) {
            return step;
        }
        GrantSizer sizer = state.settings().sizer();
        long tokens = sizer.desiredTokens(demand.rate().at(step.nowMs()), missingTokens);
        long lendingLimitTokens =
                account.lentTokens() + sizer.lendingAllowanceTokens(account.availableTokens() + tokens);
        GrantBook updatedBook = lendingLimitTokens < account.lendingLimitTokens()
                ? state.book().withLendingLimit(budget, lendingLimitTokens)
                : state.book();
        return step.with(state.withBook(updatedBook)
                        .withDemand(budget, demand.withTokenRequest(TokenRequestState.PLATFORM, tokens, step.nowMs())))
                .emit(new AdmissionCommand.RequestGrant(budget, minimumTokens, tokens, lendingLimitTokens));
    }

    private static long missingTokens(AdmissionState state, BudgetId budget) {
        long neededTokens = totalTokens(waitingByBudget(state).getOrDefault(budget, List.of()));
        return neededTokens - state.book().account(budget).availableTokens();
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
