package io.jayhead.daemon.budget;

import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantEntry;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.admission.budget.LedgerRefusal;
import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import io.jayhead.model.IncarnationId;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Reads the budget ledgers in the platform, and edits them on behalf of this router. Edits of its entry in one ledger
 * run one after the other.
 */
public final class BudgetLedgerEditor {

    private static final String KIND = "budget";

    private final ObjectStore store;
    private final ObjectEditor editor;
    private final IncarnationId incarnation;
    private final ConcurrentMap<BudgetId, CompletableFuture<?>> lastEdits = new ConcurrentHashMap<>();

    /**
     * Creates an editor for the entries of one router.
     *
     * @param store reads objects of the platform
     * @param editor edits objects of the platform
     * @param incarnation the incarnation of this router, which is the key of its ledger entries
     */
    public BudgetLedgerEditor(ObjectStore store, ObjectEditor editor, IncarnationId incarnation) {
        this.store = store;
        this.editor = editor;
        this.incarnation = incarnation;
    }

    /**
     * Describes why the ledger refused a grant.
     *
     * @param reason the reason
     * @param unallocatedTokens the tokens that the ledger has neither granted nor booked as spent
     */
    public record GrantRefusal(LedgerRefusal reason, long unallocatedTokens) {}

    /**
     * Adds tokens to the grant of this router, and reports its consumption in the same write.
     *
     * @param account the account of the budget at this router
     * @param sizer limits the grant by the unallocated tokens
     * @param minimumTokens the smallest grant that helps; less is refused
     * @param desiredTokens the size of the grant to ask for
     * @param lendingLimitTokens the upper bound of lent tokens to store in the ledger
     * @param routers the number of live routers, which share the unallocated tokens
     * @param grantedTokens receives the tokens granted by the write that took effect
     * @return the ledger after the grant, or why it was refused
     */
    public CompletableFuture<EditResult<GrantRefusal>> grant(
            GrantAccount account,
            GrantSizer sizer,
            long minimumTokens,
            long desiredTokens,
            long lendingLimitTokens,
            int routers,
            AtomicLong grantedTokens) {
        return edit(account.budget(), ledger -> {
            BudgetLedger withEntry = withOwnEntry(ledger);
            long tokens = sizer.limitedTokens(desiredTokens, minimumTokens, withEntry.unallocatedTokens(), routers);
            if (tokens < minimumTokens) {
                return Either.left(new GrantRefusal(LedgerRefusal.NOT_COVERED, withEntry.unallocatedTokens()));
            }
            grantedTokens.set(tokens);
            return withEntry
                    .grant(incarnation, tokens)
                    .flatMap(granted -> granted.report(
                            incarnation, account.consumedTokens(), lendingLimitTokens, account.borrowedTokens()))
                    .<Either<GrantRefusal, BudgetLedger>>fold(
                            reason -> Either.left(new GrantRefusal(reason, withEntry.unallocatedTokens())),
                            Either::right);
        });
    }

    /**
     * Returns granted tokens to a ledger. This router must have deducted them from its account before.
     *
     * @param budget the budget
     * @param tokens the number of tokens to return
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> returnTokens(BudgetId budget, long tokens) {
        return edit(budget, ledger -> ledger.returnTokens(incarnation, tokens));
    }

    /**
     * Reports the tokens that this router has consumed and borrowed, and the upper bound of those it may lend.
     *
     * @param account the account of the budget at this router
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> report(GrantAccount account) {
        return edit(
                account.budget(),
                ledger -> ledger.report(
                        incarnation,
                        account.consumedTokens(),
                        Math.max(account.lentTokens(), account.lendingLimitTokens()),
                        account.borrowedTokens()));
    }

    /**
     * Closes the entry of this router in a ledger.
     *
     * @param account the account of the budget at this router; nothing may be spent from it any more
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> close(GrantAccount account) {
        return edit(
                account.budget(),
                ledger -> withOwnEntry(ledger)
                        .close(incarnation, account.consumedTokens(), account.lentTokens(), account.borrowedTokens()));
    }

    /**
     * Tops up a budget; idempotent by the id of the top-up.
     *
     * @param budget the budget
     * @param topUpId identifies the top-up, so that a repeated call does not add the tokens twice
     * @param tokens the number of tokens to add
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> topUp(BudgetId budget, String topUpId, long tokens) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> decodeOrEmpty(budget, body).topUp(topUpId, tokens).map(LedgerCodec::encode),
                (sent, current) -> LedgerCodec.decode(current).topUps().containsKey(topUpId));
    }

    /**
     * Reads the ledger of a budget.
     *
     * @param budget the budget
     * @return the ledger, an empty one if none is stored yet; an empty optional if the platform does not answer
     */
    public CompletableFuture<Optional<BudgetLedger>> read(BudgetId budget) {
        return store.read(KIND, budget.objectName())
                .thenApply(result -> result instanceof ReadResult.Unavailable
                        ? Optional.empty()
                        : Optional.of(decodeOrEmpty(budget, result.body())));
    }

    private BudgetLedger withOwnEntry(BudgetLedger ledger) {
        return ledger.open(incarnation).fold(refusal -> ledger, opened -> opened);
    }

    /**
     * Edits the entry of this router in a ledger after its earlier edits of that entry have completed. A write whose
     * reply was lost is recognised by comparing that entry, which no other router changes while it is open. The
     * comparison is conclusive only if no other edit of the entry is in flight, so edits are chained.
     */
    private <R> CompletableFuture<EditResult<R>> edit(
            BudgetId budget, Function<BudgetLedger, Either<R, BudgetLedger>> change) {
        CompletableFuture<EditResult<R>> result = new CompletableFuture<>();
        lastEdits.compute(budget, (id, lastEdit) -> {
            CompletableFuture<?> previousEdit = lastEdit == null ? CompletableFuture.completedFuture(null) : lastEdit;
            return previousEdit
                    .handle((value, failure) -> this.<R>editNow(budget, change).whenComplete((outcome, error) -> {
                        if (error == null) {
                            result.complete(outcome);
                        } else {
                            result.completeExceptionally(error);
                        }
                    }))
                    .thenCompose(edit -> edit);
        });
        return result;
    }

    private <R> CompletableFuture<EditResult<R>> editNow(
            BudgetId budget, Function<BudgetLedger, Either<R, BudgetLedger>> change) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> change.apply(decodeOrEmpty(budget, body)).map(LedgerCodec::encode),
                (sent, current) -> ownEntry(sent).equals(ownEntry(current)));
    }

    private Optional<GrantEntry> ownEntry(String body) {
        return LedgerCodec.decode(body).entry(incarnation);
    }

    private static BudgetLedger decodeOrEmpty(BudgetId budget, Optional<String> body) {
        return body.map(LedgerCodec::decode).orElseGet(() -> BudgetLedger.empty(budget));
    }
}
