package io.jayhead.admission;

import io.jayhead.admission.AdmissionCommand.DeclineLoan;
import io.jayhead.admission.AdmissionCommand.Lend;
import io.jayhead.admission.AdmissionCommand.ReportFault;
import io.jayhead.admission.AdmissionCommand.ReturnTokens;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantBook;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.admission.budget.LentTransfer;
import io.jayhead.admission.budget.Reservation;
import io.jayhead.admission.budget.ReservationFault;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.Transition;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Decides which requests start, wait or are refused, and when tokens are requested, lent and returned. */
public final class AdmissionController {

    private static final long SURPLUS_CHECK_INTERVAL_MS = 10_000;

    private AdmissionController() {}

    /**
     * Applies an event to the state; has no side effects.
     *
     * @param state the state before the event
     * @param event the event
     * @return the next state and the commands to execute
     */
    public static Transition<AdmissionState, AdmissionCommand> handle(AdmissionState state, AdmissionEvent event) {
        Step step = Step.of(state, event.nowMs());
        return handleRequestEvent(step, event)
                .or(() -> handleTokenEvent(step, event))
                .or(() -> handleRouterEvent(step, event))
                .orElse(step)
                .toTransition();
    }

    private static Optional<Step> handleRequestEvent(Step step, AdmissionEvent event) {
        if (event instanceof AdmissionEvent.RequestArrived arrived) {
            return Optional.of(RequestStarter.arrive(step, arrived.request()));
        }
        if (event instanceof AdmissionEvent.PromptCounted counted) {
            return Optional.of(refund(step, counted).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.RequestSettled settled) {
            return Optional.of(endRequest(step, settled.id(), settled.consumedTokens()));
        }
        if (event instanceof AdmissionEvent.RequestReleased released) {
            return Optional.of(endRequest(step, released.id(), 0));
        }
        return Optional.empty();
    }

    private static Optional<Step> handleTokenEvent(Step step, AdmissionEvent event) {
        if (event instanceof AdmissionEvent.GrantReceived grant) {
            return Optional.of(addGrant(step, grant).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.GrantRefused refused) {
            return Optional.of(TokenRequester.grantFailed(
                    step, refused.budget(), PlatformAnswer.REFUSED, refused.unallocatedTokens()));
        }
        if (event instanceof AdmissionEvent.GrantUnavailable unavailable) {
            return Optional.of(TokenRequester.grantFailed(step, unavailable.budget(), PlatformAnswer.UNAVAILABLE, 0));
        }
        if (event instanceof AdmissionEvent.LoanReceived loan) {
            return Optional.of(addLoan(step, loan).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.LoanRefused refused) {
            return Optional.of(TokenRequester.loanFailed(step, refused.budget()).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.LoanRequested loanRequest) {
            return Optional.of(lend(step, loanRequest));
        }
        if (event instanceof AdmissionEvent.GrantReclaimed reclaimed) {
            return Optional.of(markReclaimed(step, reclaimed.budget()).then(RequestStarter::startWaiting));
        }
        return Optional.empty();
    }

    private static Optional<Step> handleRouterEvent(Step step, AdmissionEvent event) {
        AdmissionState state = step.state();
        if (event instanceof AdmissionEvent.Tick) {
            return Optional.of(step.then(RequestStarter::expire)
                    .then(TokenRequester::expireTokenRequests)
                    .then(RequestStarter::startWaiting)
                    .then(AdmissionController::returnSurplus));
        }
        if (event instanceof AdmissionEvent.FreshnessChanged changed) {
            return Optional.of(
                    step.with(state.withMode(changed.fresh(), state.draining())).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.MaxInFlightChanged changed) {
            return Optional.of(
                    step.with(state.withMaxInFlight(changed.maxInFlight())).then(RequestStarter::startWaiting));
        }
        if (event instanceof AdmissionEvent.DrainStarted) {
            return Optional.of(step.with(state.withMode(state.fresh(), true)));
        }
        return Optional.empty();
    }

    private static Step refund(Step step, AdmissionEvent.PromptCounted counted) {
        AdmissionState state = step.state();
        return state.book()
                .reduce(counted.id(), counted.promptTokensRefund())
                .fold(
                        fault -> step.emit(new ReportFault(counted.id(), fault)),
                        book -> step.with(state.withBook(book)));
    }

    private static Step endRequest(Step step, String id, long consumedTokens) {
        AdmissionState state = step.state();
        Optional<RunningRequest> running = state.running().get(id);
        if (running.isEmpty()) {
            return step;
        }
        Step ended = step.with(state.ended(id, running.get(), step.nowMs()));
        return settle(ended, id, consumedTokens).then(RequestStarter::startWaiting);
    }

    private static Step settle(Step step, String id, long consumedTokens) {
        GrantBook book = step.state().book();
        Optional<Reservation> reservation = book.reservation(id);
        if (reservation.isEmpty()) {
            return consumedTokens == 0 ? step : step.emit(new ReportFault(id, ReservationFault.UNKNOWN_RESERVATION));
        }
        return book.settle(id, consumedTokens)
                .fold(
                        fault -> settle(step, id, reservation.get().tokens()).emit(new ReportFault(id, fault)),
                        settled -> step.with(step.state().withBook(settled)));
    }

    private static Step addGrant(Step step, AdmissionEvent.GrantReceived grant) {
        AdmissionState state = step.state();
        GrantBook book = state.book()
                .grant(grant.budget(), grant.tokens())
                .withLendingLimit(grant.budget(), grant.lendingLimitTokens());
        BudgetDemand demand = state.demand(grant.budget(), step.nowMs()).withGrant(grant.tokens(), step.nowMs());
        return step.with(state.withBook(book).withDemand(grant.budget(), demand));
    }

    private static Step addLoan(Step step, AdmissionEvent.LoanReceived loan) {
        AdmissionState state = step.state();
        GrantBook book = state.book().borrow(loan.budget(), loan.transferId(), loan.tokens());
        BudgetDemand demand = state.demand(loan.budget(), step.nowMs());
        BudgetDemand next = demand.requestState() == TokenRequestState.PEERS ? demand.withoutTokenRequest() : demand;
        return step.with(state.withBook(book).withDemand(loan.budget(), next));
    }

    /** Deducts the loan before it is sent. A repeated loan request gets the same loan without a second deduction. */
    private static Step lend(Step step, AdmissionEvent.LoanRequested loanRequest) {
        GrantBook book = step.state().book();
        Optional<LentTransfer> earlierLoan = book.lentTransfer(loanRequest.budget(), loanRequest.transferId());
        long tokens = earlierLoan.map(LentTransfer::tokens).orElseGet(() -> loanTokens(step, loanRequest));
        if (tokens <= 0) {
            return step.emit(new DeclineLoan(loanRequest.peer(), loanRequest.budget(), loanRequest.transferId()));
        }
        return book.lend(loanRequest.budget(), loanRequest.transferId(), tokens)
                .fold(
                        insufficient -> step.emit(
                                new DeclineLoan(loanRequest.peer(), loanRequest.budget(), loanRequest.transferId())),
                        updatedBook -> step.with(step.state().withBook(updatedBook))
                                .emit(new Lend(
                                        loanRequest.peer(), loanRequest.budget(), loanRequest.transferId(), tokens)));
    }

    private static long loanTokens(Step step, AdmissionEvent.LoanRequested loanRequest) {
        if (hasWaitingRequests(step.state(), loanRequest.budget())) {
            return 0;
        }
        GrantAccount account = step.state().book().account(loanRequest.budget());
        double tokensPerSecond =
                step.state().demand(loanRequest.budget(), step.nowMs()).rate().at(step.nowMs());
        long spareTokens = step.state().settings().sizer().spareTokens(account.availableTokens(), tokensPerSecond);
        return Math.min(loanRequest.tokens(), Math.min(spareTokens, account.lendableTokens()));
    }

    private static Step markReclaimed(Step step, BudgetId budget) {
        Step next = step.with(step.state().withBook(step.state().book().markReclaimed(budget)));
        List<AdmissionRequest> affected = step.state()
                .waiting()
                .values()
                .filter(request -> request.budget().equals(budget) && request.worstCaseTokens() > 0)
                .toList();
        for (AdmissionRequest request : affected) {
            next = next.refuse(request, ErrorCode.SHUTTING_DOWN, "the grant of this router was reclaimed");
        }
        return next;
    }

    private static Step returnSurplus(Step step) {
        if (step.nowMs() < step.state().nextSurplusCheckMs()) {
            return step;
        }
        Step next = step.with(step.state().withNextSurplusCheck(step.nowMs() + SURPLUS_CHECK_INTERVAL_MS));
        Set<BudgetId> budgetsWithWaitingRequests =
                budgetsWithWaitingRequests(step.state()).collect(Collectors.toSet());
        for (BudgetId budget : step.state().demands().keys().toList()) {
            next = budgetsWithWaitingRequests.contains(budget) ? next : returnSurplus(next, budget);
        }
        return next;
    }

    private static Step returnSurplus(Step step, BudgetId budget) {
        AdmissionState state = step.state();
        BudgetDemand demand = state.demand(budget, step.nowMs());
        if (demand.requestState() != TokenRequestState.IDLE) {
            return step;
        }
        long availableTokens = state.book().account(budget).availableTokens();
        long idleMs = step.nowMs() - demand.rate().updatedAtMs();
        long surplusTokens = state.settings()
                .sizer()
                .surplusTokens(availableTokens, demand.rate().at(step.nowMs()), idleMs);
        long tokens = state.book().returnableTokens(budget, availableTokens - surplusTokens);
        if (tokens == 0) {
            return idleMs < GrantSizer.IDLE_RETURN_MS ? step : step.with(state.withoutDemand(budget));
        }
        AdmissionState afterReturn =
                state.withBook(state.book().deductReturn(budget, tokens).get());
        return step.with(afterReturn).emit(new ReturnTokens(budget, tokens));
    }

    private static boolean hasWaitingRequests(AdmissionState state, BudgetId budget) {
        return budgetsWithWaitingRequests(state).anyMatch(budget::equals);
    }

    private static Stream<BudgetId> budgetsWithWaitingRequests(AdmissionState state) {
        return state.waiting()
                .values()
                .filter(request -> request.worstCaseTokens() > 0)
                .map(AdmissionRequest::budget);
    }
}
