package io.jayhead.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.admission.AdmissionCommand.DeclineLoan;
import io.jayhead.admission.AdmissionCommand.Lend;
import io.jayhead.admission.AdmissionCommand.Refuse;
import io.jayhead.admission.AdmissionCommand.RequestGrant;
import io.jayhead.admission.AdmissionCommand.RequestLoan;
import io.jayhead.admission.AdmissionCommand.ReturnTokens;
import io.jayhead.admission.AdmissionCommand.Start;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.model.BudgetId;
import io.jayhead.model.ErrorCode;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.OrganisationName;
import io.jayhead.model.RequestKind;
import io.jayhead.model.Transition;
import io.jayhead.model.VmName;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that start without tokens or with a stale configuration, are accepted while the router
 * drains, or are refused although tokens can still arrive.
 *
 * <p>Such faults come about when an event is handled in the wrong state: a grant arrives while the configuration is
 * stale, the platform refuses while a refund is still possible, or a loan request is repeated.
 */
class AdmissionControllerTest {

    private static final BudgetId BUDGET = BudgetId.of("shop-1", "main");
    private static final VmName PEER = VmName.of("vm-2");

    private AdmissionState state;

    @BeforeEach
    void startFresh() {
        AdmissionSettings settings = new AdmissionSettings(IncarnationId.of("i1"), 3, 10, 5, GrantSizer.of(2_000));
        state = AdmissionState.of(settings);
        send(new AdmissionEvent.FreshnessChanged(true, 0));
    }

    @Test
    void requestWithoutGrantWaitsForThePlatformAndStarts() {
        RequestGrant grantRequest =
                assertInstanceOf(RequestGrant.class, arrive("r1", 100, 0).get(0));
        assertEquals(100, grantRequest.minimumTokens());
        assertTrue(arrive("r2", 100, 1).isEmpty(), "only one grant request per budget may be in flight");
        assertEquals(
                List.of(new Start("r1"), new Start("r2")),
                grant(grantRequest.tokens(), grantRequest.lendingLimitTokens(), 5));
        assertEquals(grantRequest.tokens() - 200, availableTokens());
    }

    @Test
    void staleOrDrainingRouterRefusesNewWorkAndServesWhatWaits() {
        arrive("r1", 100, 0);
        send(new AdmissionEvent.FreshnessChanged(false, 1));
        assertEquals(ErrorCode.CONFIGURATION_STALE, refusal(arrive("r2", 100, 1)));
        send(new AdmissionEvent.DrainStarted(2));
        assertEquals(ErrorCode.SHUTTING_DOWN, refusal(arrive("r3", 100, 3)));
        assertTrue(grant(3_000, 0, 4).isEmpty(), "a stale router starts no request");
        assertEquals(List.of(new Start("r1")), send(new AdmissionEvent.FreshnessChanged(true, 5)));
    }

    @Test
    void refusedGrantLeadsToPeersAndOnlyThenToBudgetExhausted() {
        arrive("r1", 100, 0);
        RequestLoan loanRequest = assertInstanceOf(
                RequestLoan.class,
                send(new AdmissionEvent.GrantRefused(BUDGET, 40, 1)).get(0));
        assertEquals(100, loanRequest.tokens());
        assertEquals(ErrorCode.BUDGET_EXHAUSTED, refusal(send(new AdmissionEvent.LoanRefused(BUDGET, 2))));
    }

    @Test
    void outageRefusesOnlyAtTheQueueLimitAndNamesThePlatform() {
        arrive("r1", 100, 0);
        send(new AdmissionEvent.GrantUnavailable(BUDGET, 1));
        assertTrue(send(new AdmissionEvent.LoanRefused(BUDGET, 2)).isEmpty());
        long limitMs = RequestKind.SUMMARY.queueLimitMs();
        assertEquals(ErrorCode.PLATFORM_UNAVAILABLE, refusal(send(new AdmissionEvent.Tick(limitMs))));
    }

    @Test
    void refundStartsTheRequestThatWaitsForIt() {
        arrive("r1", 100, 0);
        grant(100, 0, 1);
        arrive("r2", 60, 2);
        send(new AdmissionEvent.GrantRefused(BUDGET, 0, 3));
        assertTrue(send(new AdmissionEvent.LoanRefused(BUDGET, 4)).isEmpty(), "a refund can still cover the request");
        assertEquals(List.of(new Start("r2")), send(new AdmissionEvent.PromptCounted("r1", 60, 5)));
        send(new AdmissionEvent.RequestSettled("r1", 40, 6));
        assertEquals(40, state.book().account(BUDGET).consumedTokens());
    }

    @Test
    void loanIsDeductedBeforeItIsSentAndRepeatedWithoutASecondDeduction() {
        arrive("r1", 100, 0);
        grant(2_000, 500, 1);
        AdmissionEvent first = new AdmissionEvent.LoanRequested(PEER, BUDGET, "t1", 300, 2);
        assertEquals(List.of(new Lend(PEER, BUDGET, "t1", 300)), send(first));
        assertEquals(List.of(new Lend(PEER, BUDGET, "t1", 300)), send(first));
        assertEquals(1_600, availableTokens());
        AdmissionEvent second = new AdmissionEvent.LoanRequested(PEER, BUDGET, "t2", 300, 3);
        assertEquals(
                List.of(new Lend(PEER, BUDGET, "t2", 200)),
                send(second),
                "the lending limit of the ledger bounds the loans");
        AdmissionEvent third = new AdmissionEvent.LoanRequested(PEER, BUDGET, "t3", 300, 4);
        assertEquals(List.of(new DeclineLoan(PEER, BUDGET, "t3")), send(third));
    }

    @Test
    void inFlightBoundHoldsAndAFreedSlotStartsTheNext() {
        send(new AdmissionEvent.GrantReceived(BUDGET, 100_000, 0, 0));
        for (int number = 1; number <= 4; number++) {
            arrive("r" + number, 10, 1);
        }
        assertEquals(3, state.inFlight());
        assertTrue(send(new AdmissionEvent.RequestSettled("r1", 10, 2)).contains(new Start("r4")));
        assertEquals(3, state.inFlight());
    }

    @Test
    void reclaimedBudgetStartsNothing() {
        send(new AdmissionEvent.GrantReceived(BUDGET, 1_000, 0, 0));
        send(new AdmissionEvent.GrantReclaimed(BUDGET, 1));
        assertEquals(ErrorCode.SHUTTING_DOWN, refusal(arrive("r1", 10, 2)));
    }

    @Test
    void idleBalanceGoesBack() {
        arrive("r1", 100, 0);
        grant(2_100, 0, 1);
        send(new AdmissionEvent.RequestSettled("r1", 100, 2));
        assertTrue(send(new AdmissionEvent.Tick(20_000)).isEmpty());
        assertEquals(
                List.of(new ReturnTokens(BUDGET, 2_000)), send(new AdmissionEvent.Tick(GrantSizer.IDLE_RETURN_MS)));
        assertEquals(0, availableTokens());
    }

    @Test
    void grantShrinksWithTheUnallocatedRest() {
        GrantSizer sizer = GrantSizer.of(2_000);
        assertEquals(2_000, sizer.limitedTokens(2_000, 100, 1_000_000, 10));
        assertEquals(500, sizer.limitedTokens(2_000, 100, 10_000, 10));
        assertEquals(100, sizer.limitedTokens(2_000, 100, 1_000, 10));
        assertEquals(60, sizer.limitedTokens(2_000, 100, 60, 10));
    }

    private List<AdmissionCommand> arrive(String id, long tokens, long nowMs) {
        AdmissionRequest request = new AdmissionRequest(
                id, BUDGET, OrganisationName.of("shop-1"), 5, RequestKind.SUMMARY, tokens, nowMs, nowMs + 30_000, 64);
        return send(new AdmissionEvent.RequestArrived(request, nowMs));
    }

    private List<AdmissionCommand> grant(long tokens, long lendingLimitTokens, long nowMs) {
        return send(new AdmissionEvent.GrantReceived(BUDGET, tokens, lendingLimitTokens, nowMs));
    }

    private List<AdmissionCommand> send(AdmissionEvent event) {
        Transition<AdmissionState, AdmissionCommand> transition = AdmissionController.handle(state, event);
        state = transition.state();
        return transition.commands();
    }

    private static ErrorCode refusal(List<AdmissionCommand> commands) {
        assertEquals(1, commands.size(), commands::toString);
        return assertInstanceOf(Refuse.class, commands.get(0)).code();
    }

    private long availableTokens() {
        return state.book().account(BUDGET).availableTokens();
    }
}
