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
 * Holds the ledger of a budget, which the platform stores as one object.
 *
 * <p>A router opens its entry once per incarnation, and grants only add to an existing entry. A holder that resumes
 * after its entry was reclaimed therefore gets {@link LedgerRefusal#NO_ENTRY}. The list of closed incarnations covers
 * the remaining case: the reply to the opening write was lost, and the entry was reclaimed before the holder read it
 * back. Without the list, such a holder would open its entry again.
 *
 * @param id the budget
 * @param topUps the tokens of each top-up by top-up id
 * @param retiredTokens the net spend of closed entries (consumed plus lent minus borrowed); negative while the entry of
 *     a borrower is closed and the entry of its lender is still open
 * @param entries the entries that are open or being reclaimed, by incarnation id
 * @param closedIncarnations the most recently closed incarnations, oldest first
 */
public record BudgetLedger(
        BudgetId id,
        Map<String, Long> topUps,
        long retiredTokens,
        Map<String, GrantEntry> entries,
        List<String> closedIncarnations) {

    /** Keeps the object small: 128 ids of 36 characters take 5 KB of the object limit of 1 MB. */
    public static final int CLOSED_INCARNATIONS_MAX = 128;

    /**
     * Validates that the grants and the retired tokens do not exceed the paid tokens.
     *
     * @throws IllegalArgumentException if they do
     * @throws ArithmeticException if a sum overflows
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
     * Returns a ledger without top-ups and entries.
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
     * @return the paid tokens
     */
    public long paidTokens() {
        return paidTokens(topUps);
    }

    /**
     * Returns the tokens that are available for grants.
     *
     * @return the paid tokens minus the retired and the granted ones, at least 0
     */
    public long unallocatedTokens() {
        return paidTokens() - retiredTokens - grantedTokens(entries);
    }

    /**
     * Finds the entry of an incarnation.
     *
     * @param incarnation the holder
     * @return the entry, open or being reclaimed; empty if it was never opened or is closed
     */
    public Optional<GrantEntry> entry(IncarnationId incarnation) {
        return Optional.ofNullable(entries.get(incarnation.value()));
    }

    /**
     * Adds a top-up. Repeating it with the same id and amount changes nothing.
     *
     * @param topUpId the id of the top-up
     * @param tokens the tokens paid, positive
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> topUp(String topUpId, long tokens) {
        Long recordedTokens = topUps.get(topUpId);
        if (recordedTokens != null) {
            return recordedTokens == tokens ? Either.right(this) : Either.left(LedgerRefusal.TOP_UP_REUSED);
        }
        if (tokens <= 0 || tokens > Long.MAX_VALUE / 4 - paidTokens()) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        Map<String, Long> next = new HashMap<>(topUps);
        next.put(topUpId, tokens);
        return Either.right(new BudgetLedger(id, next, retiredTokens, entries, closedIncarnations));
    }

    /**
     * Opens the entry of an incarnation. Must be called once per incarnation, in the write of its first grant or
     * report.
     *
     * @param incarnation the holder
     * @return the new ledger, or the reason for the refusal
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
     * @param tokens the tokens to add
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> grant(IncarnationId incarnation, long tokens) {
        if (tokens < 0) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        if (tokens > unallocatedTokens()) {
            return requireOpenEntry(incarnation).flatMap(entry -> Either.left(LedgerRefusal.NOT_COVERED));
        }
        return requireOpenEntry(incarnation)
                .map(entry -> withEntry(incarnation, entry.withGranted(entry.grantedTokens() + tokens)));
    }

    /**
     * Records the consumed and borrowed tokens of a holder, and the upper bound of the tokens that it may lend.
     *
     * @param incarnation the holder
     * @param consumedTokens the tokens consumed since the entry was opened
     * @param lentTokens the upper bound of all tokens lent since the entry was opened, valid until the next report
     * @param borrowedTokens the tokens borrowed since the entry was opened
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> report(
            IncarnationId incarnation, long consumedTokens, long lentTokens, long borrowedTokens) {
        return requireOpenEntry(incarnation).flatMap(entry -> {
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
     * Returns granted tokens to the budget. The holder must have deducted them from its own account before.
     *
     * @param incarnation the holder
     * @param tokens the tokens to return
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> returnTokens(IncarnationId incarnation, long tokens) {
        return requireOpenEntry(incarnation).flatMap(entry -> {
            if (tokens < 0 || tokens > entry.grantedTokens()) {
                return Either.left(LedgerRefusal.INVALID_AMOUNT);
            }
            return Either.right(withEntry(incarnation, entry.withGranted(entry.grantedTokens() - tokens)));
        });
    }

    /**
     * Closes the entry of a holder that has stopped spending; also allowed while the entry is being reclaimed.
     *
     * @param incarnation the holder
     * @param consumedTokens the tokens consumed since the entry was opened
     * @param lentTokens the tokens lent since the entry was opened
     * @param borrowedTokens the tokens borrowed since the entry was opened
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> close(
            IncarnationId incarnation, long consumedTokens, long lentTokens, long borrowedTokens) {
        return requireEntry(incarnation).flatMap(entry -> {
            long spendTokens = consumedTokens + lentTokens - borrowedTokens;
            if (lentTokens < 0
                    || consumedTokens < entry.consumedTokens()
                    || borrowedTokens < entry.borrowedTokens()
                    || spendTokens > entry.grantedTokens()) {
                return Either.left(LedgerRefusal.INCONSISTENT_REPORT);
            }
            return Either.right(withClosedEntry(incarnation, spendTokens));
        });
    }

    /**
     * Marks an entry as being reclaimed. Repeating it with the same nonce changes nothing.
     *
     * @param incarnation the lost holder
     * @param nonce identifies this reclaim
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> beginReclaim(IncarnationId incarnation, String nonce) {
        return requireEntry(incarnation).flatMap(entry -> {
            if (entry.state() == EntryState.RECLAIMING) {
                return entry.reclaimNonce().equals(nonce) ? Either.right(this) : Either.left(LedgerRefusal.RECLAIMING);
            }
            return Either.right(withEntry(incarnation, entry.withReclaim(nonce)));
        });
    }

    /**
     * Takes over a reclaim from a router that was lost while it reclaimed the entry.
     *
     * <p>The router that takes over must raise the fencing token again and charge the requests that the earlier reclaim
     * may have learned of from the upstreams. If an upstream does not list these requests again, the whole grant must
     * be charged.
     *
     * @param incarnation the lost holder
     * @param nonce the nonce of the earlier reclaim
     * @param nextNonce the nonce of the new reclaim
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> takeOverReclaim(
            IncarnationId incarnation, String nonce, String nextNonce) {
        return requireReclaimingEntry(incarnation, nonce)
                .map(entry -> withEntry(incarnation, entry.withReclaim(nextNonce)));
    }

    /**
     * Closes an entry whose holder is fenced at every upstream, so that none of them executes its requests any more.
     *
     * @param incarnation the lost holder
     * @param nonce the nonce of the reclaim
     * @param chargedTokens the sum of all charges of the holder to this budget
     * @return the new ledger, or the reason for the refusal
     */
    public Either<LedgerRefusal, BudgetLedger> completeReclaim(
            IncarnationId incarnation, String nonce, long chargedTokens) {
        if (chargedTokens < 0) {
            return Either.left(LedgerRefusal.INVALID_AMOUNT);
        }
        return requireReclaimingEntry(incarnation, nonce)
                .map(entry -> withClosedEntry(incarnation, entry.reclaimedSpendTokens(chargedTokens)));
    }

    private Either<LedgerRefusal, GrantEntry> requireEntry(IncarnationId incarnation) {
        return entry(incarnation)
                .<Either<LedgerRefusal, GrantEntry>>map(Either::right)
                .orElseGet(() -> Either.left(LedgerRefusal.NO_ENTRY));
    }

    private Either<LedgerRefusal, GrantEntry> requireOpenEntry(IncarnationId incarnation) {
        return requireEntry(incarnation)
                .flatMap(requireThat(entry -> entry.state() == EntryState.OPEN, LedgerRefusal.RECLAIMING));
    }

    private Either<LedgerRefusal, GrantEntry> requireReclaimingEntry(IncarnationId incarnation, String nonce) {
        return requireEntry(incarnation)
                .flatMap(requireThat(
                        entry -> entry.state() == EntryState.RECLAIMING
                                && entry.reclaimNonce().equals(nonce),
                        LedgerRefusal.NONCE_MISMATCH));
    }

    private static Function<GrantEntry, Either<LedgerRefusal, GrantEntry>> requireThat(
            Predicate<GrantEntry> condition, LedgerRefusal refusal) {
        return entry -> condition.test(entry) ? Either.right(entry) : Either.left(refusal);
    }

    private BudgetLedger withEntry(IncarnationId incarnation, GrantEntry entry) {
        Map<String, GrantEntry> next = new TreeMap<>(entries);
        next.put(incarnation.value(), entry);
        return new BudgetLedger(id, topUps, retiredTokens, next, closedIncarnations);
    }

    private BudgetLedger withClosedEntry(IncarnationId incarnation, long spendTokens) {
        Map<String, GrantEntry> next = new TreeMap<>(entries);
        next.remove(incarnation.value());
        List<String> closed = new ArrayList<>(closedIncarnations);
        closed.add(incarnation.value());
        int excess = Math.max(0, closed.size() - CLOSED_INCARNATIONS_MAX);
        return new BudgetLedger(id, topUps, retiredTokens + spendTokens, next, closed.subList(excess, closed.size()));
    }

    private static long paidTokens(Map<String, Long> topUps) {
        return topUps.values().stream().reduce(0L, Math::addExact);
    }

    private static long grantedTokens(Map<String, GrantEntry> entries) {
        return entries.values().stream().map(GrantEntry::grantedTokens).reduce(0L, Math::addExact);
    }
}
