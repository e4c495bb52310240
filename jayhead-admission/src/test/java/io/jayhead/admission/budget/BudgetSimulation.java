package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Simulates several routers, one ledger object, and a network that loses, repeats and delays messages. */
final class BudgetSimulation {

    private static final BudgetId BUDGET = BudgetId.of("shop-1", "main");
    private static final int HOLDERS_MAX = 6;
    private static final int TOP_UP_FACTOR = 4;

    private record Message(Holder from, Holder to, String transferId, long tokens) {}

    final List<Holder> holders = new ArrayList<>();
    BudgetLedger ledger = BudgetLedger.empty(BUDGET);
    long strandedTokens;
    private long version = 1;
    private int lastId;
    private final List<Message> loanRequests = new ArrayList<>();
    private final List<Message> loans = new ArrayList<>();
    private final Set<String> undeliveredTransfers = new HashSet<>();

    BudgetSimulation(int routers) {
        for (int index = 0; index < routers; index++) {
            restart();
        }
    }

    long spentTokens() {
        return holders.stream().mapToLong(holder -> holder.spentTokens).sum();
    }

    long spendableTokens() {
        return holders.stream().mapToLong(Holder::spendableTokens).sum();
    }

    void run(Action action) {
        Holder holder = holders.get(action.holder() % holders.size());
        if (action.kind().readsLedger && !action.stale()) {
            read(holder);
        }
        switch (action.kind()) {
            case TOP_UP -> topUp(action.tokens());
            case READ -> read(holder);
            case GRANT ->
                grant(holder, Math.min(action.tokens(), holder.readLedger.unallocatedTokens()), action.replyLost());
            case REPORT -> report(holder, action.replyLost());
            case RETURN -> returnTokens(holder, action.tokens(), action.replyLost());
            case RESERVE ->
                reserve(holder, Math.min(action.tokens(), holder.account().availableTokens()));
            case REFUND -> refund(holder, action.tokens());
            case SETTLE -> holder.settle(action.tokens());
            case ASK_LOAN -> requestLoan(holder, holders.get(action.peer() % holders.size()), action.tokens());
            case ANSWER_LOAN -> answerLoan(action.peer());
            case DELIVER_LOAN -> deliverLoan(action.peer());
            case DROP_MESSAGE -> dropLoan(action.peer());
            case CLOSE -> close(holder);
            case RESTART -> restart();
            case BEGIN_RECLAIM -> apply(ledger.beginReclaim(holder.id, "nonce-" + holder.id));
            case FENCE -> fence(holder, action.tokens());
            case COMPLETE_RECLAIM -> completeReclaim(holder);
            default -> throw new IllegalStateException();
        }
    }

    /** Ends all requests and closes the entries of all holders. */
    void closeAll() {
        for (Holder holder : holders) {
            holder.settleAll(0);
            close(holder);
            if (ledger.entry(holder.id).isPresent()) {
                throw new AssertionError("entry stays open: " + ledger.entry(holder.id));
            }
        }
    }

    private void restart() {
        if (holders.size() < HOLDERS_MAX) {
            holders.add(new Holder("i" + holders.size(), ledger, version));
        }
    }

    private void topUp(long tokens) {
        String id = "top-up-" + (++lastId);
        apply(ledger.topUp(id, tokens * TOP_UP_FACTOR + 1));
        apply(ledger.topUp(id, tokens * TOP_UP_FACTOR + 1));
    }

    private void read(Holder holder) {
        holder.readLedger = ledger;
        holder.readVersion = version;
        holder.readLedger.entry(holder.id).ifPresentOrElse(entry -> reconcile(holder, entry), () -> {
            holder.pendingGrantTokens = 0;
            if (holder.opened) {
                holder.markReclaimed();
            }
        });
    }

    /** Compares the granted tokens to find out whether a write with a lost reply took effect. */
    private void reconcile(Holder holder, GrantEntry entry) {
        holder.opened = true;
        long differenceTokens = entry.grantedTokens() - holder.account().grantedTokens();
        if (holder.returnPending) {
            if (differenceTokens > 0) {
                write(holder, holder.readLedger.returnTokens(holder.id, differenceTokens));
            }
            holder.returnPending = false;
        } else if (holder.pendingGrantTokens > 0 && differenceTokens == holder.pendingGrantTokens) {
            holder.book = holder.book.grant(holder.budget, differenceTokens);
        }
        holder.pendingGrantTokens = 0;
    }

    private void grant(Holder holder, long tokens, boolean replyLost) {
        if (isBusy(holder)) {
            return;
        }
        Either<LedgerRefusal, BudgetLedger> openedLedger =
                holder.opened ? Either.right(holder.readLedger) : holder.readLedger.open(holder.id);
        boolean written = write(holder, openedLedger.flatMap(opened -> opened.grant(holder.id, tokens)));
        if (replyLost) {
            holder.pendingGrantTokens = tokens;
        } else if (written) {
            holder.opened = true;
            holder.book = holder.book.grant(holder.budget, tokens);
        }
    }

    private void report(Holder holder, boolean replyLost) {
        if (isBusy(holder)) {
            return;
        }
        GrantAccount account = holder.account();
        long limitTokens = account.lentTokens() + account.availableTokens() / 2;
        if (limitTokens < account.lendingLimitTokens()) {
            holder.book = holder.book.withLendingLimit(holder.budget, limitTokens);
        }
        Either<LedgerRefusal, BudgetLedger> nextLedger =
                holder.readLedger.report(holder.id, account.consumedTokens(), limitTokens, account.borrowedTokens());
        if (write(holder, nextLedger) && !replyLost) {
            holder.book = holder.book.withLendingLimit(holder.budget, limitTokens);
        }
    }

    private void returnTokens(Holder holder, long tokens, boolean replyLost) {
        long amountTokens = Math.min(tokens, holder.account().returnableTokens(0));
        if (isBusy(holder) || amountTokens == 0) {
            return;
        }
        holder.book = holder.book.deductReturn(holder.budget, amountTokens).get();
        boolean written = write(holder, holder.readLedger.returnTokens(holder.id, amountTokens));
        holder.returnPending = replyLost || !written;
    }

    private void reserve(Holder holder, long tokens) {
        String request = "r" + (++lastId);
        holder.book.reserve(holder.budget, request, tokens).toOptional().ifPresent(book -> {
            if (!holder.fenced && !holder.closed) {
                holder.book = book;
                holder.runningRequests.add(request);
            }
        });
    }

    private void refund(Holder holder, long tokens) {
        if (!holder.runningRequests.isEmpty()) {
            holder.book = holder.book
                    .reduce(holder.runningRequests.peekFirst(), tokens)
                    .fold(fault -> holder.book, book -> book);
        }
    }

    private void requestLoan(Holder holder, Holder peer, long tokens) {
        if (holder == peer || holder.closed) {
            return;
        }
        String transferId = holder.id + "/" + (++lastId);
        holder.book = holder.book.expectLoan(holder.budget, transferId);
        loanRequests.add(new Message(holder, peer, transferId, tokens));
    }

    /** Answers a loan request and keeps it, so that it can arrive again. */
    private void answerLoan(int index) {
        if (loanRequests.isEmpty()) {
            return;
        }
        Message loanRequest = loanRequests.get(index % loanRequests.size());
        Holder lender = loanRequest.to();
        if (lender.closed) {
            return;
        }
        long tokens = lender.book
                .lentTransfer(lender.budget, loanRequest.transferId())
                .map(LentTransfer::tokens)
                .orElse(Math.min(
                        loanRequest.tokens(), Math.max(0, lender.account().lendableTokens())));
        lender.book
                .lend(lender.budget, loanRequest.transferId(), tokens)
                .toOptional()
                .ifPresent(book -> {
                    boolean repeated = book == lender.book;
                    lender.book = book;
                    loans.add(new Message(lender, loanRequest.from(), loanRequest.transferId(), tokens));
                    if (!repeated) {
                        strandedTokens += tokens;
                        undeliveredTransfers.add(loanRequest.transferId());
                    }
                });
    }

    /** Delivers a loan and keeps it, so that it can arrive again. */
    private void deliverLoan(int index) {
        if (loans.isEmpty()) {
            return;
        }
        Message loan = loans.get(index % loans.size());
        Holder borrower = loan.to();
        if (borrower.closed) {
            return;
        }
        borrower.book = borrower.book.borrow(borrower.budget, loan.transferId(), loan.tokens());
        if (undeliveredTransfers.remove(loan.transferId())) {
            strandedTokens -= loan.tokens();
        }
    }

    private void dropLoan(int index) {
        if (!loans.isEmpty()) {
            loans.remove(index % loans.size());
        }
    }

    /** Closes the entry of a holder. A borrower without an entry opens one first, so that its loans are counted. */
    private void close(Holder holder) {
        if (holder.closed || !holder.runningRequests.isEmpty()) {
            return;
        }
        read(holder);
        GrantAccount account = holder.account();
        Either<LedgerRefusal, BudgetLedger> openedLedger =
                holder.opened ? Either.right(holder.readLedger) : holder.readLedger.open(holder.id);
        write(
                holder,
                openedLedger.flatMap(opened -> opened.close(
                        holder.id, account.consumedTokens(), account.lentTokens(), account.borrowedTokens())));
        holder.closed = true;
        holder.markReclaimed();
    }

    /** Cancels the requests of a holder under reclaim at the upstreams, which report the consumed tokens. */
    private void fence(Holder holder, long tokens) {
        boolean reclaiming = ledger.entry(holder.id)
                .filter(entry -> entry.state() == EntryState.RECLAIMING)
                .isPresent();
        if (reclaiming) {
            holder.fenced = true;
            holder.settleAll(tokens);
        }
    }

    private void completeReclaim(Holder holder) {
        if (holder.fenced) {
            apply(ledger.completeReclaim(holder.id, "nonce-" + holder.id, holder.spentTokens));
            holder.reclaimed = true;
        }
    }

    private boolean isBusy(Holder holder) {
        return holder.closed || holder.returnPending || holder.pendingGrantTokens > 0;
    }

    private boolean write(Holder holder, Either<LedgerRefusal, BudgetLedger> nextLedger) {
        boolean entryLost = holder.opened
                && nextLedger.fold(
                        refusal -> refusal == LedgerRefusal.NO_ENTRY || refusal == LedgerRefusal.RECLAIMING,
                        written -> false);
        if (entryLost) {
            holder.markReclaimed();
        }
        if (!nextLedger.isRight() || holder.readVersion != version) {
            return false;
        }
        apply(nextLedger);
        holder.readLedger = ledger;
        holder.readVersion = version;
        return true;
    }

    private void apply(Either<LedgerRefusal, BudgetLedger> nextLedger) {
        nextLedger.toOptional().ifPresent(written -> {
            ledger = written;
            version++;
        });
    }
}
