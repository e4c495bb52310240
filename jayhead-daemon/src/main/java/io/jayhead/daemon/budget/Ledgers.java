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

/** Edits the ledgers of budgets in the platform. */
public final class Ledgers {

    private static final String KIND = "budget";

    private final ObjectStore store;
    private final ObjectEditor editor;
    private final IncarnationId incarnation;
    private final ConcurrentMap<BudgetId, CompletableFuture<?>> lastEdits = new ConcurrentHashMap<>();

    /**
     * Creates the editor.
     *
     * @param store the platform
     * @param editor edits objects of the platform
     * @param incarnation this router
     */
    public Ledgers(ObjectStore store, ObjectEditor editor, IncarnationId incarnation) {
        this.store = store;
        this.editor = editor;
        this.incarnation = incarnation;
    }

    /**
     * A grant that the ledger refused.
     *
     * @param reason the reason
     * @param unallocatedTokens what the ledger has left
     */
    public record GrantRefusal(LedgerRefusal reason, long unallocatedTokens) {}

    /**
     * Asks for a grant.
     *
     * @param account the account of the budget at this router
     * @param sizer limits the grant
     * @param minimumTokens the smallest useful grant
     * @param desiredTokens the grant wanted
     * @param lendingLimitTokens the bound of lent tokens to write
     * @param routers the number of live routers
     * @param grantedTokens receives the tokens granted by the write that took effect
     * @return the ledger after the grant, or why it is refused
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
            BudgetLedger opened = opened(ledger);
            long tokens = sizer.limitedTokens(desiredTokens, minimumTokens, opened.unallocatedTokens(), routers);
            if (tokens < minimumTokens) {
                return Either.left(new GrantRefusal(LedgerRefusal.NOT_COVERED, opened.unallocatedTokens()));
            }
            grantedTokens.set(tokens);
            return opened.grant(incarnation, tokens)
                    .flatMap(granted -> granted.report(
                            incarnation, account.consumedTokens(), lendingLimitTokens, account.borrowedTokens()))
                    .<Either<GrantRefusal, BudgetLedger>>fold(
                            reason -> Either.left(new GrantRefusal(reason, opened.unallocatedTokens())), Either::right);
        });
    }

    /**
     * Returns tokens that this router deducted from its account.
     *
     * @param budget the budget
     * @param tokens the tokens
     * @return the outcome
     */
    public CompletableFuture<EditResult<LedgerRefusal>> returnTokens(BudgetId budget, long tokens) {
        return edit(budget, ledger -> ledger.returnTokens(incarnation, tokens));
    }

    /**
     * Reports what this router consumed.
     *
     * @param account the account
     * @return the outcome
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
     * Closes the entry of this router.
     *
     * @param account the account, which spends nothing any more
     * @return the outcome
     */
    public CompletableFuture<EditResult<LedgerRefusal>> close(GrantAccount account) {
        return edit(
                account.budget(),
                ledger -> opened(ledger)
                        .close(incarnation, account.consumedTokens(), account.lentTokens(), account.borrowedTokens()));
    }

    /**
     * Tops a budget up.
     *
     * @param budget the budget
     * @param topUpId identifies the top-up
     * @param tokens the tokens
     * @return the outcome
     */
    public CompletableFuture<EditResult<LedgerRefusal>> topUp(BudgetId budget, String topUpId, long tokens) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> decode(budget, body).topUp(topUpId, tokens).map(LedgerCodec::encode),
                (sent, current) -> LedgerCodec.decode(current).topUps().containsKey(topUpId));
    }

    /**
     * Reads a ledger.
     *
     * @param budget the budget
     * @return the ledger; empty if the platform does not answer
     */
    public CompletableFuture<Optional<BudgetLedger>> read(BudgetId budget) {
        return store.read(KIND, budget.objectName())
                .thenApply(result -> result instanceof ReadResult.Unavailable
                        ? Optional.empty()
                        : Optional.of(decode(budget, result.body())));
    }

    private BudgetLedger opened(BudgetLedger ledger) {
        return ledger.open(incarnation).fold(refusal -> ledger, opened -> opened);
    }

    /**
     * Edits a ledger after the earlier edits of this router have ended. A write without a reply is recognised by the
     * entry of this router, which no other router writes while it is open; that holds for one edit at a time only.
     */
    private <R> CompletableFuture<EditResult<R>> edit(
            BudgetId budget, Function<BudgetLedger, Either<R, BudgetLedger>> change) {
        CompletableFuture<EditResult<R>> result = new CompletableFuture<>();
        lastEdits.compute(budget, (id, previous) -> {
            CompletableFuture<?> before = previous == null ? CompletableFuture.completedFuture(null) : previous;
            return before.handle((value, failure) -> this.<R>send(budget, change)
                            .whenComplete((outcome, error) -> {
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

    private <R> CompletableFuture<EditResult<R>> send(
            BudgetId budget, Function<BudgetLedger, Either<R, BudgetLedger>> change) {
        return editor.edit(
                KIND,
                budget.objectName(),
                body -> change.apply(decode(budget, body)).map(LedgerCodec::encode),
                (sent, current) -> entry(sent).equals(entry(current)));
    }

    private Optional<GrantEntry> entry(String body) {
        return LedgerCodec.decode(body).entry(incarnation);
    }

    private static BudgetLedger decode(BudgetId budget, Optional<String> body) {
        return body.map(LedgerCodec::decode).orElseGet(() -> BudgetLedger.empty(budget));
    }
}
