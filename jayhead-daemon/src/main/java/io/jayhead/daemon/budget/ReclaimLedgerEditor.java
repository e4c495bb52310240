package io.jayhead.daemon.budget;

import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.EntryState;
import io.jayhead.admission.budget.GrantEntry;
import io.jayhead.admission.budget.LedgerRefusal;
import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import io.jayhead.model.IncarnationId;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ListResult;
import io.jayhead.platform.ObjectEditor;
import io.jayhead.platform.ObjectStore;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** Finds the ledger entries of lost routers in the platform, and edits them while their grants are reclaimed. */
public final class ReclaimLedgerEditor {

    private static final String KIND = "budget";

    private final ObjectStore store;
    private final ObjectEditor editor;

    /**
     * Creates an editor for the entries of other routers.
     *
     * @param store lists objects of the platform
     * @param editor edits objects of the platform
     */
    public ReclaimLedgerEditor(ObjectStore store, ObjectEditor editor) {
        this.store = store;
        this.editor = editor;
    }

    /**
     * Describes an open ledger entry.
     *
     * @param budget the budget
     * @param holder the router incarnation that holds the grant
     * @param strandedTokens the granted tokens that were not reported as consumed
     */
    public record OpenEntry(BudgetId budget, IncarnationId holder, long strandedTokens) {}

    /**
     * Lists the open entries of selected holders. The ledgers are decoded on a thread of the platform client.
     *
     * @param holderFilter selects the holders; may be called on any thread
     * @return the entries, or empty if the platform does not answer
     */
    public CompletableFuture<Optional<List<OpenEntry>>> openEntries(Predicate<IncarnationId> holderFilter) {
        return store.list(KIND, "")
                .thenApply(result -> result instanceof ListResult.Listed listed
                        ? Optional.of(listed.objects().stream()
                                .map(object -> LedgerCodec.decode(object.body()))
                                .flatMap(ledger -> ledger.entries().entrySet().stream()
                                        .map(entry -> openEntry(ledger.id(), entry.getKey(), entry.getValue())))
                                .filter(entry -> holderFilter.test(entry.holder()))
                                .toList())
                        : Optional.empty());
    }

    /**
     * Marks an entry as being reclaimed, or takes over an earlier reclaim of the entry.
     *
     * @param budget the budget
     * @param holder the lost holder
     * @param nonce identifies this reclaim
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> mark(BudgetId budget, IncarnationId holder, String nonce) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> decode(budget, body)
                        .flatMap(ledger -> markReclaiming(ledger, holder, nonce))
                        .map(LedgerCodec::encode),
                (sent, current) -> LedgerCodec.decode(current)
                        .entry(holder)
                        .filter(entry -> entry.reclaimNonce().equals(nonce))
                        .isPresent());
    }

    /**
     * Closes an entry, unless another reclaim has replaced the mark.
     *
     * @param budget the budget
     * @param holder the lost holder
     * @param nonce identifies this reclaim, as passed to {@link #mark}
     * @param chargedTokens the tokens that the holder has charged to the budget in all
     * @return the outcome of the edit
     */
    public CompletableFuture<EditResult<LedgerRefusal>> close(
            BudgetId budget, IncarnationId holder, String nonce, long chargedTokens) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> decode(budget, body)
                        .flatMap(ledger -> ledger.completeReclaim(holder, nonce, chargedTokens))
                        .map(LedgerCodec::encode),
                (sent, current) -> LedgerCodec.decode(current).entry(holder).isEmpty());
    }

    private static Either<LedgerRefusal, BudgetLedger> markReclaiming(
            BudgetLedger ledger, IncarnationId holder, String nonce) {
        Optional<GrantEntry> reclaimingEntry =
                ledger.entry(holder).filter(entry -> entry.state() == EntryState.RECLAIMING);
        return reclaimingEntry.isPresent()
                ? ledger.takeOverReclaim(holder, reclaimingEntry.get().reclaimNonce(), nonce)
                : ledger.beginReclaim(holder, nonce);
    }

    private static OpenEntry openEntry(BudgetId budget, String holder, GrantEntry entry) {
        return new OpenEntry(
                budget, IncarnationId.of(holder), Math.max(0, entry.grantedTokens() - entry.consumedTokens()));
    }

    private static Either<LedgerRefusal, BudgetLedger> decode(BudgetId budget, Optional<String> body) {
        return body.<Either<LedgerRefusal, BudgetLedger>>map(text -> Either.right(LedgerCodec.decode(text)))
                .orElseGet(() -> Either.left(LedgerRefusal.NO_ENTRY));
    }
}
