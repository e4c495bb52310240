package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Several routers, one ledger object and a network that loses, repeats and delays messages. */
final class BudgetWorld {

    private static final BudgetId BUDGET = BudgetId.of("shop-1", "main");
    private static final int HOLDERS_MAX = 6;
    private static final int TOP_UP_FACTOR = 4;

    private record Message(Holder from, Holder to, String transferId, long tokens) {}

    final List<Holder> holders = new ArrayList<>();
    BudgetLedger ledger = BudgetLedger.empty(BUDGET);
    long strandedTokens;
    private long version = 1;
    private int counter;
    private final List<Message> asks = new ArrayList<>();
    private final List<Message> loans = new ArrayList<>();
    private final Set<String> stranded = new HashSet<>();

    BudgetWorld(int routers) {
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
        if (action.kind().reads && !action.stale()) {
            read(holder);
        }
        switch (action.kind()) {
            case TOP_UP -> topUp(action.tokens());
            case READ -> read(holder);
            case GRANT -> grant(holder, Math.min(action.tokens(), holder.read.unallocatedTokens()), action.replyLost());
            case REPORT -> report(holder, action.replyLost());
            case RETURN -> giveBack(holder, action.tokens(), action.replyLost());
            case RESERVE ->
                reserve(holder, Math.min(action.tokens(), holder.account().availableTokens()));
            case REFUND -> refund(holder, action.tokens());
            case SETTLE -> holder.settle(action.tokens());
            case ASK_LOAN -> askLoan(holder, holders.get(action.peer() % holders.size()), action.tokens());
            case ANSWER_LOAN -> answerLoan(action.peer());
            case DELIVER_LOAN -> deliver(action.peer());
            case DROP_MESSAGE -> drop(action.peer());
            case CLOSE -> close(holder);
            case RESTART -> restart();
            case BEGIN_RECLAIM -> change(ledger.beginReclaim(holder.id, "nonce-" + holder.id));
            case FENCE -> fence(holder, action.tokens());
            case COMPLETE_RECLAIM -> completeReclaim(holder);
            default -> throw new IllegalStateException();
        }
    }

    /** Ends all requests, then closes or reclaims every entry. */
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
        String id = "top-up-" + (++counter);
        change(ledger.topUp(id, tokens * TOP_UP_FACTOR + 1));
        change(ledger.topUp(id, tokens * TOP_UP_FACTOR + 1));
    }

    private void read(Holder holder) {
        holder.read = ledger;
        holder.readVersion = version;
        holder.read.entry(holder.id).ifPresentOrElse(entry -> readBack(holder, entry), () -> {
            holder.pendingGrantTokens = 0;
            if (holder.opened) {
                holder.voidBudget();
            }
        });
    }

    /** Compares the granted tokens to learn whether a write with a lost reply took effect. */
    private void readBack(Holder holder, GrantEntry entry) {
        holder.opened = true;
        long difference = entry.grantedTokens() - holder.account().grantedTokens();
        if (holder.returning) {
            if (difference > 0) {
                write(holder, holder.read.returnTokens(holder.id, difference));
            }
            holder.returning = false;
        } else if (holder.pendingGrantTokens > 0 && difference == holder.pendingGrantTokens) {
            holder.book = holder.book.grant(holder.budget, difference);
        }
        holder.pendingGrantTokens = 0;
    }

    private void grant(Holder holder, long tokens, boolean replyLost) {
        if (isBusy(holder)) {
            return;
        }
        Either<LedgerRefusal, BudgetLedger> base =
                holder.opened ? Either.right(holder.read) : holder.read.open(holder.id);
        boolean written = write(holder, base.flatMap(open -> open.grant(holder.id, tokens)));
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
        long limit = account.lentTokens() + account.availableTokens() / 2;
        if (limit < account.lendingLimitTokens()) {
            holder.book = holder.book.withLendingLimit(holder.budget, limit);
        }
        Either<LedgerRefusal, BudgetLedger> next =
                holder.read.report(holder.id, account.consumedTokens(), limit, account.borrowedTokens());
        if (write(holder, next) && !replyLost) {
            holder.book = holder.book.withLendingLimit(holder.budget, limit);
        }
    }

    private void giveBack(Holder holder, long tokens, boolean replyLost) {
        long amount = Math.min(tokens, holder.account().returnableTokens(0));
        if (isBusy(holder) || amount == 0) {
            return;
        }
        holder.book = holder.book.deductReturn(holder.budget, amount).get();
        boolean written = write(holder, holder.read.returnTokens(holder.id, amount));
        holder.returning = replyLost || !written;
    }

    private void reserve(Holder holder, long tokens) {
        String request = "r" + (++counter);
        holder.book.reserve(holder.budget, request, tokens).toOptional().ifPresent(book -> {
            if (!holder.fenced && !holder.closed) {
                holder.book = book;
                holder.running.add(request);
            }
        });
    }

    private void refund(Holder holder, long tokens) {
        if (!holder.running.isEmpty()) {
            holder.book =
                    holder.book.reduce(holder.running.peekFirst(), tokens).fold(fault -> holder.book, book -> book);
        }
    }

    private void askLoan(Holder holder, Holder peer, long tokens) {
        if (holder == peer || holder.closed) {
            return;
        }
        String transferId = holder.id + "/" + (++counter);
        holder.book = holder.book.expectLoan(holder.budget, transferId);
        asks.add(new Message(holder, peer, transferId, tokens));
    }

    /** Keeps the ask, so that it can arrive again. */
    private void answerLoan(int index) {
        if (asks.isEmpty()) {
            return;
        }
        Message ask = asks.get(index % asks.size());
        Holder lender = ask.to();
        if (lender.closed) {
            return;
        }
        long tokens = lender.book
                .lentTransfer(lender.budget, ask.transferId())
                .map(LentTransfer::tokens)
                .orElse(Math.min(ask.tokens(), Math.max(0, lender.account().lendableTokens())));
        lender.book.lend(lender.budget, ask.transferId(), tokens).toOptional().ifPresent(book -> {
            boolean repeated = book == lender.book;
            lender.book = book;
            loans.add(new Message(lender, ask.from(), ask.transferId(), tokens));
            if (!repeated) {
                strandedTokens += tokens;
                stranded.add(ask.transferId());
            }
        });
    }

    /** Keeps the loan, so that it can arrive again. */
    private void deliver(int index) {
        if (loans.isEmpty()) {
            return;
        }
        Message loan = loans.get(index % loans.size());
        Holder borrower = loan.to();
        if (borrower.closed) {
            return;
        }
        borrower.book = borrower.book.borrow(borrower.budget, loan.transferId(), loan.tokens());
        if (stranded.remove(loan.transferId())) {
            strandedTokens -= loan.tokens();
        }
    }

    private void drop(int index) {
        if (!loans.isEmpty()) {
            loans.remove(index % loans.size());
        }
    }

    /** A borrower without an entry opens one, so that its loans are counted. */
    private void close(Holder holder) {
        if (holder.closed || !holder.running.isEmpty()) {
            return;
        }
        read(holder);
        GrantAccount account = holder.account();
        Either<LedgerRefusal, BudgetLedger> base =
                holder.opened ? Either.right(holder.read) : holder.read.open(holder.id);
        write(
                holder,
                base.flatMap(open -> open.close(
                        holder.id, account.consumedTokens(), account.lentTokens(), account.borrowedTokens())));
        holder.closed = true;
        holder.voidBudget();
    }

    /** Cancels the running requests at the upstreams, which report what they used. */
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
            change(ledger.completeReclaim(holder.id, "nonce-" + holder.id, holder.spentTokens));
            holder.reclaimed = true;
        }
    }

    private boolean isBusy(Holder holder) {
        return holder.closed || holder.returning || holder.pendingGrantTokens > 0;
    }

    private boolean write(Holder holder, Either<LedgerRefusal, BudgetLedger> next) {
        boolean lost = holder.opened
                && next.fold(
                        refusal -> refusal == LedgerRefusal.NO_ENTRY || refusal == LedgerRefusal.RECLAIMING,
                        value -> false);
        if (lost) {
            holder.voidBudget();
        }
        if (!next.isRight() || holder.readVersion != version) {
            return false;
        }
        change(next);
        holder.read = ledger;
        holder.readVersion = version;
        return true;
    }

    private void change(Either<LedgerRefusal, BudgetLedger> next) {
        next.toOptional().ifPresent(value -> {
            ledger = value;
            version++;
        });
    }
}
