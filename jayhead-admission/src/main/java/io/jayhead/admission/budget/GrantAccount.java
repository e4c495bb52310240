package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the tokens of one budget at one router.
 *
 * @param budget the budget
 * @param grantedTokens the tokens granted and not returned
 * @param consumedTokens the tokens consumed by ended requests
 * @param lentTokens the tokens lent to peers
 * @param lendingLimitTokens the upper bound of the lent tokens, as written to the ledger
 * @param borrowedTokens the tokens borrowed from peers
 * @param reservedTokens the tokens reserved by requests in flight
 * @param expectedLoans the transfer ids of requested loans that have not arrived, oldest first
 * @param lentTransfers the most recent loans to peers, oldest first
 * @param reclaimed whether the ledger entry of this router was reclaimed
 */
public record GrantAccount(
        BudgetId budget,
        long grantedTokens,
        long consumedTokens,
        long lentTokens,
        long lendingLimitTokens,
        long borrowedTokens,
        long reservedTokens,
        List<String> expectedLoans,
        List<LentTransfer> lentTransfers,
        boolean reclaimed) {

    /**
     * Limits the expected loans and the recorded transfers. The tokens of a dropped expected loan are stranded if
     * it still arrives; a dropped transfer is lent a second time if its request is repeated.
     */
    public static final int TRANSFERS_MAX = 64;

    /**
     * Validates that the consumed, lent and reserved tokens do not exceed the granted and borrowed ones, and that the
     * lent tokens do not exceed the lending limit.
     *
     * @throws IllegalArgumentException if they do, or if the granted, consumed or reserved tokens are negative
     */
    public GrantAccount {
        expectedLoans = List.copyOf(expectedLoans);
        lentTransfers = List.copyOf(lentTransfers);
        Checks.requireNotNegative(grantedTokens, "grantedTokens");
        Checks.requireNotNegative(consumedTokens, "consumedTokens");
        Checks.requireNotNegative(reservedTokens, "reservedTokens");
        Checks.requireNotNegative(
                grantedTokens + borrowedTokens - lentTokens - consumedTokens - reservedTokens, "available tokens");
        Checks.requireNotNegative(lendingLimitTokens - lentTokens, "lendingLimitTokens - lentTokens");
    }

    /**
     * Returns an account without tokens.
     *
     * @param budget the budget
     * @return the account
     */
    public static GrantAccount empty(BudgetId budget) {
        return new GrantAccount(budget, 0, 0, 0, 0, 0, 0, List.of(), List.of(), false);
    }

    /**
     * Returns the tokens that a new request may reserve.
     *
     * @return the available tokens, 0 if the entry was reclaimed
     */
    public long availableTokens() {
        return reclaimed ? 0 : grantedTokens + borrowedTokens - lentTokens - consumedTokens - reservedTokens;
    }

    /**
     * Returns the tokens that may be lent within the lending limit of the ledger.
     *
     * @return the lendable tokens
     */
    public long lendableTokens() {
        return Math.min(availableTokens(), lendingLimitTokens - lentTokens);
    }

    /**
     * Returns the tokens that may be returned to the platform.
     *
     * <p>Borrowed tokens are not part of the grant and cannot be returned; they go back when the entry is closed.
     *
     * @param keepTokens the available tokens to keep
     * @return the returnable tokens, at least 0
     */
    public long returnableTokens(long keepTokens) {
        return Math.max(0, Math.min(grantedTokens, availableTokens() - keepTokens));
    }

    Optional<LentTransfer> lentTransfer(String transferId) {
        return lentTransfers.stream()
                .filter(transfer -> transfer.transferId().equals(transferId))
                .findFirst();
    }

    GrantAccount withGranted(long tokens) {
        return copy(tokens, consumedTokens, borrowedTokens, reservedTokens, expectedLoans);
    }

    GrantAccount withReservation(long tokens) {
        return copy(grantedTokens, consumedTokens, borrowedTokens, reservedTokens + tokens, expectedLoans);
    }

    GrantAccount withReleasedReservation(long reserved, long consumed) {
        return copy(grantedTokens, consumedTokens + consumed, borrowedTokens, reservedTokens - reserved, expectedLoans);
    }

    GrantAccount withExpectedLoan(String transferId) {
        return copy(
                grantedTokens,
                consumedTokens,
                borrowedTokens,
                reservedTokens,
                appendBounded(expectedLoans, transferId));
    }

    GrantAccount withBorrowed(String transferId, long tokens) {
        if (!expectedLoans.contains(transferId)) {
            return this;
        }
        List<String> remaining = new ArrayList<>(expectedLoans);
        remaining.remove(transferId);
        return copy(grantedTokens, consumedTokens, borrowedTokens + tokens, reservedTokens, remaining);
    }

    GrantAccount withLent(String transferId, long tokens) {
        List<LentTransfer> nextTransfers = appendBounded(lentTransfers, new LentTransfer(transferId, tokens));
        return new GrantAccount(
                budget,
                grantedTokens,
                consumedTokens,
                lentTokens + tokens,
                lendingLimitTokens,
                borrowedTokens,
                reservedTokens,
                expectedLoans,
                nextTransfers,
                reclaimed);
    }

    GrantAccount withLendingLimit(long limitTokens) {
        return copyRestrictions(Math.max(lentTokens, limitTokens), reclaimed);
    }

    GrantAccount withReclaimed() {
        return copyRestrictions(lendingLimitTokens, true);
    }

    private GrantAccount copyRestrictions(long limitTokens, boolean isReclaimed) {
        return new GrantAccount(
                budget,
                grantedTokens,
                consumedTokens,
                lentTokens,
                limitTokens,
                borrowedTokens,
                reservedTokens,
                expectedLoans,
                lentTransfers,
                isReclaimed);
    }

    private GrantAccount copy(long granted, long consumed, long borrowed, long reserved, List<String> expected) {
        return new GrantAccount(
                budget,
                granted,
                consumed,
                lentTokens,
                lendingLimitTokens,
                borrowed,
                reserved,
                expected,
                lentTransfers,
                reclaimed);
    }

    private static <T> List<T> appendBounded(List<T> list, T item) {
        List<T> next = new ArrayList<>(list);
        next.add(item);
        return next.subList(Math.max(0, next.size() - TRANSFERS_MAX), next.size());
    }
}
