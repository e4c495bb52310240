package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Checks;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds what one router may spend of one budget.
 *
 * @param budget the budget
 * @param grantedTokens the tokens granted and not returned
 * @param consumedTokens the tokens consumed
 * @param lentTokens the tokens lent to peers
 * @param lendingLimitTokens the bound of the lent tokens that the ledger holds
 * @param borrowedTokens the tokens borrowed from peers
 * @param reservedTokens the tokens reserved by requests
 * @param expectedLoans the transfer ids of loans asked for, oldest first
 * @param lentTransfers the loans sent last, oldest first
 * @param voided whether the entry was reclaimed
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
        boolean voided) {

    /** Forgetting an older expected loan strands its tokens; forgetting a sent one lends again on a repeated ask. */
    public static final int TRANSFERS_MAX = 64;

    /**
     * Checks that no more is spent, lent and reserved than was granted and borrowed.
     *
     * @throws IllegalArgumentException if more is
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
     * @return tokens, 0 if the entry was reclaimed
     */
    public long availableTokens() {
        return voided ? 0 : grantedTokens + borrowedTokens - lentTokens - consumedTokens - reservedTokens;
    }

    /**
     * Returns the tokens that may be lent now within the bound that the ledger holds.
     *
     * @return tokens
     */
    public long lendableTokens() {
        return Math.min(availableTokens(), lendingLimitTokens - lentTokens);
    }

    /**
     * Returns the tokens that may be returned to the platform.
     *
     * <p>Borrowed tokens cannot be returned; they go back when the entry is closed.
     *
     * @param keepTokens the tokens to keep
     * @return tokens
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

    GrantAccount reserving(long tokens) {
        return copy(grantedTokens, consumedTokens, borrowedTokens, reservedTokens + tokens, expectedLoans);
    }

    GrantAccount settling(long reserved, long consumed) {
        return copy(grantedTokens, consumedTokens + consumed, borrowedTokens, reservedTokens - reserved, expectedLoans);
    }

    GrantAccount expecting(String transferId) {
        return copy(grantedTokens, consumedTokens, borrowedTokens, reservedTokens, appended(expectedLoans, transferId));
    }

    GrantAccount borrowing(String transferId, long tokens) {
        if (!expectedLoans.contains(transferId)) {
            return this;
        }
        List<String> left = new ArrayList<>(expectedLoans);
        left.remove(transferId);
        return copy(grantedTokens, consumedTokens, borrowedTokens + tokens, reservedTokens, left);
    }

    GrantAccount lending(String transferId, long tokens) {
        List<LentTransfer> transfers = appended(lentTransfers, new LentTransfer(transferId, tokens));
        return new GrantAccount(
                budget,
                grantedTokens,
                consumedTokens,
                lentTokens + tokens,
                lendingLimitTokens,
                borrowedTokens,
                reservedTokens,
                expectedLoans,
                transfers,
                voided);
    }

    GrantAccount withLendingLimit(long limitTokens) {
        return copyFlags(Math.max(lentTokens, limitTokens), voided);
    }

    GrantAccount withVoided() {
        return copyFlags(lendingLimitTokens, true);
    }

    private GrantAccount copyFlags(long limitTokens, boolean isVoided) {
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
                isVoided);
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
                voided);
    }

    private static <T> List<T> appended(List<T> list, T item) {
        List<T> next = new ArrayList<>(list);
        next.add(item);
        return next.subList(Math.max(0, next.size() - TRANSFERS_MAX), next.size());
    }
}
