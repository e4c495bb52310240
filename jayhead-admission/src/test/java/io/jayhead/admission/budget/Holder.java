package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import java.util.ArrayDeque;
import java.util.Deque;

/** A router incarnation in a random run, with the tokens that upstreams really spent for it. */
final class Holder {

    final IncarnationId id;
    final BudgetId budget;
    final Deque<String> running = new ArrayDeque<>();
    GrantBook book = GrantBook.empty();
    BudgetLedger read;
    long readVersion;
    boolean opened;
    long pendingGrantTokens;
    boolean returning;
    boolean fenced;
    boolean closed;
    boolean reclaimed;
    long spentTokens;

    Holder(String id, BudgetLedger read, long readVersion) {
        this.id = IncarnationId.of(id);
        this.budget = read.id();
        this.read = read;
        this.readVersion = readVersion;
    }

    GrantAccount account() {
        return book.account(budget);
    }

    long spendableTokens() {
        return fenced || closed ? 0 : account().availableTokens() + account().reservedTokens();
    }

    void voidBudget() {
        book = book.voidBudget(budget);
    }

    /** Ends the oldest request; a fenced upstream has cancelled it and counted its tokens already. */
    void settle(long tokens) {
        String request = running.pollFirst();
        if (request == null) {
            return;
        }
        long consumed = Math.min(tokens, book.reservation(request).orElseThrow().tokens());
        spentTokens += consumed;
        book = book.settle(request, consumed).get();
    }

    void settleAll(long tokens) {
        while (!running.isEmpty()) {
            settle(tokens);
        }
    }
}
