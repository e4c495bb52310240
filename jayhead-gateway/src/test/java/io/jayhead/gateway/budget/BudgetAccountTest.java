package io.jayhead.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.admission.prepaid.BudgetNeed;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against tokens that stay unused while requests or other routers need them. This happens when the account stops
 * borrowing after one failed loan, answers a loan before it has asked the ledger, or lets large requests use up the
 * tokens of more urgent ones in an outage.
 */
class BudgetAccountTest {

    private static final long PREPAID = 1_000_000;
    private static final long WAIT_MS = 400;
    private static final int RANK = 1;
    /** Longer than a loan waits for the ledger. */
    private static final long LATE_MS = 100;

    private final List<BudgetNeed> needs = new ArrayList<>();
    private final List<ReservationResult> results = new ArrayList<>();
    private final List<Long> loansAsked = new ArrayList<>();
    private final List<Long> lent = new ArrayList<>();
    private final LoanSource noLoans = (need, onLoan, onDone) -> {
        loansAsked.add(need.neededTokens());
        onDone.accept(LoanResult.NOT_COVERED);
    };

    @Test
    void aLargeRequestThatNobodyCouldCoverDoesNotKeepASmallOneFromAsking() {
        BudgetAccount account = account(noLoans);
        reserve(account, 50_000);
        account.ledgerUnavailable();
        assertEquals(List.of(ReservationResult.UNAVAILABLE), results);
        reserve(account, 1_000);
        assertEquals(List.of(50_000L, 1_000L), loansAsked);
    }

    @Test
    void aRequestAsLargeAsOneThatNobodyCouldCoverIsRefusedAtOnce() {
        BudgetAccount account = account(noLoans);
        reserve(account, 50_000);
        account.ledgerUnavailable();
        reserve(account, 60_000);
        assertEquals(List.of(50_000L), loansAsked);
        assertEquals(2, results.size());
    }

    @Test
    void ofTwoRoutersThatLackTokensTheOneThatLacksLessIsServed() {
        BudgetAccount account = account((need, onLoan, onDone) -> {});
        account.ledgerRead(10_000, 0, 0);
        reserve(account, 30_000);
        lend(account, 25_000);
        lend(account, 2_000);
        assertEquals(List.of(0L, 2_000L), lent);
    }

    @Test
    void aLoanThatTheWalletDoesNotCoverWaitsForTheLedger() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(1_000, 500_000, 0);
        lend(account, 20_000);
        assertEquals(List.of(), lent);
        assertEquals(19_000, needs.get(needs.size() - 1).requiredTokens());
        account.ledgerRead(40_000, 461_000, 0);
        assertEquals(List.of(20_000L), lent);
    }

    @Test
    void aLoanIsAnsweredWithWhatThereIsWhenTheLedgerIsAway() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(1_000, 500_000, 0);
        lend(account, 20_000);
        account.ledgerUnavailable();
        assertEquals(List.of(1_000L), lent);
    }

    /** The first call of an outage fails only after a while, in which loans would otherwise take all that is left. */
    @Test
    void aLoanThatHasWaitedTooLongLeavesTokensToMoreUrgentOnes() throws InterruptedException {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(10_000, 500_000, 0);
        reserve(account, 1_000, 0);
        lend(account, 50_000);
        assertEquals(List.of(), lent);
        Thread.sleep(LATE_MS);
        account.answerLateLoans();
        assertEquals(List.of(6_500L), lent);
        account.ledgerUnavailable();
        reserve(account, 2_000, 0);
        assertEquals(List.of(ReservationResult.RESERVED, ReservationResult.RESERVED), results);
    }

    @Test
    void anAccountForWhichThereWasNothingToTakeAsksAgainAfterAnOutage() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(1_000, 500_000, 0);
        reserve(account, 600);
        account.ledgerUnchanged();
        account.ledgerUnavailable();
        needs.clear();
        reserve(account, 5_000);
        assertEquals(1, needs.size());
    }

    @Test
    void inAnOutageLargeRequestsLeaveTokensToMoreUrgentOnes() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(10_000, 500_000, 0);
        reserve(account, 1_000, 0);
        reserve(account, 5_000, RANK);
        account.ledgerUnavailable();
        results.clear();
        reserve(account, 3_500, RANK);
        reserve(account, 1_000, 0);
        assertEquals(List.of(ReservationResult.UNAVAILABLE, ReservationResult.RESERVED), results);
    }

    @Test
    void aRequestWhoseLoanWasUsedUpByAMoreUrgentOneBorrowsAgainInAnOutage() {
        List<Runnable> loans = new ArrayList<>();
        BudgetAccount account = account((need, onLoan, onDone) -> loans.add(() -> {
            onLoan.accept(need.neededTokens());
            onDone.accept(LoanResult.COVERED);
        }));
        account.ledgerRead(0, 500_000, 0);
        reserve(account, 1_000, 0);
        account.ledgerUnavailable();
        reserve(account, 700, 0);
        reserve(account, 900, RANK);
        for (int loan = 0; loan < loans.size(); loan++) {
            loans.get(loan).run();
        }
        assertEquals(
                List.of(ReservationResult.RESERVED, ReservationResult.RESERVED, ReservationResult.RESERVED), results);
    }

    @Test
    void aLoanOfABusyRouterThatIsNoHolderAlsoCoversItsNextRequests() {
        List<LoanNeed> asked = new ArrayList<>();
        BudgetAccount account =
                new BudgetAccount(needs::add, () -> {}, (need, onLoan, onDone) -> asked.add(need), () -> false);
        account.ledgerRead(9_000, 500_000, 0);
        for (int request = 0; request < 10; request++) {
            reserve(account, 1_000);
        }
        assertEquals(List.of(new LoanNeed(1_000, asked.get(0).wantedTokens(), RANK, false)), asked);
        assertTrue(asked.get(0).wantedTokens() > 3_000);
        assertTrue(asked.get(0).wantedTokens() <= 4_000);
    }

    @Test
    void aSingleRequestBorrowsNoMoreThanItNeeds() {
        List<LoanNeed> asked = new ArrayList<>();
        BudgetAccount account = account((need, onLoan, onDone) -> asked.add(need));
        reserve(account, 1_000);
        account.ledgerUnavailable();
        assertEquals(List.of(new LoanNeed(1_000, 1_000, RANK, true)), asked);
    }

    @Test
    void aHolderThatReachesTheLedgerAsksItAgainAfterALoan() {
        List<Runnable> loans = new ArrayList<>();
        BudgetAccount account = account((need, onLoan, onDone) -> loans.add(() -> onDone.accept(LoanResult.COVERED)));
        account.ledgerRead(0, 500_000, 0);
        reserve(account, 1_000);
        account.ledgerUnavailable();
        account.ledgerRead(0, 500_000, 0);
        needs.clear();
        account.ledgerUnchanged();
        loans.get(0).run();
        assertEquals(1, loans.size());
    }

    @Test
    void aPartThatHelpsNoBorrowerIsNotLent() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(1_000, 0, 0);
        lend(account, 3_000);
        lend(account, 2_000);
        assertEquals(List.of(0L, 600L), lent);
    }

    @Test
    void theNeedCountsWhatWasConsumedAndLentAsUsedAndNotWhatWasReserved() {
        BudgetAccount account = account(noLoans);
        account.ledgerRead(100_000, 500_000, 0);
        reserve(account, 30_000);
        account.settle(30_000, 6_000);
        lend(account, 1_000);
        reserve(account, 90_000);
        BudgetNeed need = needs.get(needs.size() - 1);
        assertTrue(need.usedTokensPerS() > 0);
        assertTrue(need.usedTokensPerS() < need.tokensPerS() / 10);
    }

    private BudgetAccount account(LoanSource loans) {
        return new BudgetAccount(needs::add, () -> {}, loans, () -> true);
    }

    private void reserve(BudgetAccount account, long tokens) {
        reserve(account, tokens, RANK);
    }

    private void reserve(BudgetAccount account, long tokens, int rank) {
        account.reserve(PREPAID, tokens, rank, WAIT_MS, results::add);
    }

    private void lend(BudgetAccount account, long tokens) {
        LongConsumer reply = lent::add;
        account.lend(tokens, RANK, false, reply);
    }
}
