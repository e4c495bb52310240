package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import io.jayhead.model.IncarnationId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Holds the content of the platform object of a budget.
 *
 * <p>A router opens its entry once per incarnation and grants only add to an existing entry, so a woken holder whose
 * entry was reclaimed gets {@link LedgerRefusal#NO_ENTRY}. The list of closed incarnations covers the remaining case:
 * the reply to the opening write was lost and the entry was reclaimed before the holder read it back.
 *
 * @param id the budget
 * @param topUps the tokens of each top-up by top-up id
 * @param retiredTokens the spend of closed entries; negative while a borrower is closed and its lender is open
 * @param entries the open entries by incarnation id
 * @param closedIncarnations the incarnations closed last, oldest first
 */
public record BudgetLedger(
        BudgetId id,
        Map<String, Long> topUps,
        long retiredTokens,
        Map<String, GrantEntry> entries,
        List<String> closedIncarnations) {

    /** Keeps the object small: 128 ids of 36 characters take 5 KB of the 1 MB that an object may have. */
    public static final int CLOSED_INCARNATIONS_MAX = 128;

    /**
     * Checks that the open grants and the retired spend do not exceed the paid tokens.
     *
     * @throws IllegalArgumentException if they do
     */
    public BudgetLedger {
        topUps = Map.copyOf(topUps);
        entries = Map.copyOf(entries);
        closedIncarnations = List.copyOf(closedIncarnations);
        long allocated = Math.addExact(retiredTokens, grantedTokens(entries));
        if (allocated > paidTokens(topUps)) {
            throw new IllegalArgumentException("ledger of " + id + " allocates " + allocated + " tokens of "
                    + paidTokens(topUps) + " paid tokens");
        }
    }

    /**
     * Returns the ledger of a budget without top-ups.
     *
     * @param id the budget
     * @return the ledger
     */
    public static BudgetLedger empty(BudgetId id) {
        return new BudgetLedger(id, Map.of(), 0, Map.of(), List.of());
    }

    /**
     * Returns the sum of the top-ups.
     *
     * @return tokens
     */
    public long paidTokens() {
        return paidTokens(topUps);
    }

    /**
     * Returns the tokens that are neither spent nor granted.
     *
     * @return tokens
     */
    public long unallocatedTokens() {
        return paidTokens() - retiredTokens - grantedTokens(entries);
    }

    /**
     * Finds the open entry of an incarnation.
     *
     * @param incarnation the incarnation
     * @return the entry, or empty if it has none
     */
    public Optional<GrantEntry> entry(IncarnationId incarnation) {
        return Optional.ofNullable(entries.get(incarnation.value()));
    }

    /**
     * Adds a top-up; a repeated one changes nothing.
     *
     * @param topUpId the id of the top-up
     * @param tokens the tokens paid
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> topUp(String topUpId, long tokens) {
        Long earlier = topUps.get(topUpId);
        if (earlier != null) {
            return earlier == tokens ? Either.right(this) : Either.left(LedgerRefusal.TOP_UP_REUSED);
        }
        if (tokens <= 0 || tokens > Long.MAX_VALUE / 4 - paidTokens()) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        Map<String, Long> next = new HashMap<>(topUps);
        next.put(topUpId, tokens);
        return Either.right(new BudgetLedger(id, next, retiredTokens, entries, closedIncarnations));
    }

    /**
     * Opens the entry of an incarnation; called once per incarnation, in the write of its first grant or report.
     *
     * @param incarnation the incarnation
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> open(IncarnationId incarnation) {
        if (closedIncarnations.contains(incarnation.value())) {
            return Either.left(LedgerRefusal.ENTRY_CLOSED);
        }
        if (entries.containsKey(incarnation.value())) {
            return Either.left(LedgerRefusal.ENTRY_EXISTS);
        }
        return Either.right(withEntry(incarnation, GrantEntry.empty()));
    }

    /**
     * Adds tokens to the grant of an open entry.
     *
     * @param incarnation the holder
     * @param tokens the tokens
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> grant(IncarnationId incarnation, long tokens) {
        if (tokens < 0) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        if (tokens > unallocatedTokens()) {
            return openEntry(incarnation).flatMap(entry -> Either.left(LedgerRefusal.NOT_COVERED));
        }
        return openEntry(incarnation)
                .map(entry -> withEntry(incarnation, entry.withGranted(entry.grantedTokens() + tokens)));
    }

    /**
     * Records what the holder consumed and borrowed, and the bound of what it may lend.
     *
     * @param incarnation the holder
     * @param consumedTokens the tokens consumed since the entry was opened
     * @param lentTokens an upper bound of the tokens lent until the next report
     * @param borrowedTokens the tokens borrowed since the entry was opened
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> report(
            IncarnationId incarnation, long consumedTokens, long lentTokens, long borrowedTokens) {
        return openEntry(incarnation).flatMap(entry -> {
            if (lentTokens < 0
                    || consumedTokens < entry.consumedTokens()
                    || borrowedTokens < entry.borrowedTokens()
                    || consumedTokens - borrowedTokens > entry.grantedTokens()) {
                return Either.left(LedgerRefusal.INCONSISTENT_REPORT);
            }
            return Either.right(withEntry(incarnation, entry.withReport(consumedTokens, lentTokens, borrowedTokens)));
        });
    }

    /**
     * Gives granted tokens back that the holder has deducted from its book before.
     *
     * @param incarnation the holder
     * @param tokens the tokens
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> returnTokens(IncarnationId incarnation, long tokens) {
        return openEntry(incarnation).flatMap(entry -> {
            if (tokens < 0 || tokens > entry.grantedTokens()) {
                return Either.left(LedgerRefusal.INVALID_AMOUNT);
            }
            return Either.right(withEntry(incarnation, entry.withGranted(entry.grantedTokens() - tokens)));
        });
    }

    /**
     * Closes the entry of a holder that spends nothing any more; allowed during a reclaim too.
     *
     * @param incarnation the holder
     * @param consumedTokens the tokens consumed in all
     * @param lentTokens the tokens lent in all
     * @param borrowedTokens the tokens borrowed in all
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> close(
            IncarnationId incarnation, long consumedTokens, long lentTokens, long borrowedTokens) {
        return anyEntry(incarnation).flatMap(entry -> {
            long spend = consumedTokens + lentTokens - borrowedTokens;
            if (lentTokens < 0
                    || consumedTokens < entry.consumedTokens()
                    || borrowedTokens < entry.borrowedTokens()
                    || spend > entry.grantedTokens()) {
                return Either.left(LedgerRefusal.INCONSISTENT_REPORT);
            }
            return Either.right(closed(incarnation, spend));
        });
    }

    /**
     * Marks an entry as being reclaimed; repeating it with the same nonce changes nothing.
     *
     * @param incarnation the lost holder
     * @param nonce identifies this reclaim
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> beginReclaim(IncarnationId incarnation, String nonce) {
        return anyEntry(incarnation).flatMap(entry -> {
            if (entry.state() == EntryState.RECLAIMING) {
                return entry.reclaimNonce().equals(nonce) ? Either.right(this) : Either.left(LedgerRefusal.RECLAIMING);
            }
            return Either.right(withEntry(incarnation, entry.reclaiming(nonce)));
        });
    }

    /**
     * Continues a reclaim whose router was lost.
     *
     * <p>The new reclaim must raise the fencing token again and charge the requests that the first one may have
     * learned of. Where an upstream does not list them again, the whole grant has to be charged.
     *
     * @param incarnation the lost holder
     * @param nonce the nonce of the earlier reclaim
     * @param nextNonce the nonce of the new reclaim
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> takeOverReclaim(
            IncarnationId incarnation, String nonce, String nextNonce) {
        return reclaimed(incarnation, nonce).map(entry -> withEntry(incarnation, entry.reclaiming(nextNonce)));
    }

    /**
     * Closes an entry whose holder is fenced at every upstream.
     *
     * @param incarnation the lost holder
     * @param nonce the nonce of the reclaim
     * @param chargedTokens the sum of the charges of the holder to this budget
     * @return the new ledger, or why it is refused
     */
    public Either<LedgerRefusal, BudgetLedger> completeReclaim(
            IncarnationId incarnation, String nonce, long chargedTokens) {
        if (chargedTokens < 0) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        return reclaimed(incarnation, nonce)
                .map(entry -> closed(incarnation, entry.reclaimedSpendTokens(chargedTokens)));
    }

    private Either<LedgerRefusal, GrantEntry> anyEntry(IncarnationId incarnation) {
        return entry(incarnation)
                .<Either<LedgerRefusal, GrantEntry>>map(Either::right)
                .orElseGet(() -> Either.left(LedgerRefusal.NO_ENTRY));
    }

    private Either<LedgerRefusal, GrantEntry> openEntry(IncarnationId incarnation) {
        return anyEntry(incarnation)
                .flatMap(require(entry -> entry.state() == EntryState.OPEN, LedgerRefusal.RECLAIMING));
    }

    private Either<LedgerRefusal, GrantEntry> reclaimed(IncarnationId incarnation, String nonce) {
        return anyEntry(incarnation)
                .flatMap(require(
                        entry -> entry.state() == EntryState.RECLAIMING
                                && entry.reclaimNonce().equals(nonce),
                        LedgerRefusal.NONCE_MISMATCH));
    }

    private static Function<GrantEntry, Either<LedgerRefusal, GrantEntry>> require(
            Predicate<GrantEntry> condition, LedgerRefusal refusal) {
        return entry -> condition.test(entry) ? Either.right(entry) : Either.left(refusal);
    }

    private BudgetLedger withEntry(IncarnationId incarnation, GrantEntry entry) {
        Map<String, GrantEntry> next = new TreeMap<>(entries);
        next.put(incarnation.value(), entry);
        return new BudgetLedger(id, topUps, retiredTokens, next, closedIncarnations);
    }

    private BudgetLedger closed(IncarnationId incarnation, long spendTokens) {
        Map<String, GrantEntry> next = new TreeMap<>(entries);
        next.remove(incarnation.value());
        List<String> closed = new ArrayList<>(closedIncarnations);
        closed.add(incarnation.value());
        int surplus = Math.max(0, closed.size() - CLOSED_INCARNATIONS_MAX);
        return new BudgetLedger(id, topUps, retiredTokens + spendTokens, next, closed.subList(surplus, closed.size()));
    }

    private static long paidTokens(Map<String, Long> topUps) {
        return topUps.values().stream().reduce(0L, Math::addExact);
    }

    private static long grantedTokens(Map<String, GrantEntry> entries) {
        return entries.values().stream().map(GrantEntry::grantedTokens).reduce(0L, Math::addExact);
    }
}
