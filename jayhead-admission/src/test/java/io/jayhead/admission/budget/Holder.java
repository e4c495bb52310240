package io.jayhead.admission.budget;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import java.util.ArrayDeque;
import java.util.Deque;

/** Simulates a router incarnation, and counts the tokens that the upstreams actually spent for it. */
final class Holder {

    final IncarnationId id;
    final BudgetId budget;
    final Deque<String> runningRequests = new ArrayDeque<>();
    GrantBook book = GrantBook.empty();
    BudgetLedger readLedger;
    long readVersion;
    boolean opened;
    long pendingGrantTokens;
    boolean returnPending;
    boolean fenced;
    boolean closed;
    boolean reclaimed;
    long spentTokens;

    Holder(String id, BudgetLedger readLedger, long readVersion) {
        this.id = IncarnationId.of(id);
        this.budget = readLedger.id();
        this.readLedger = readLedger;
        this.readVersion = readVersion;
    }

    GrantAccount account() {
        return book.account(budget);
    }

    long spendableTokens() {
        return fenced || closed ? 0 : account().availableTokens() + account().reservedTokens();
    }

    void markReclaimed() {
        book = book.markReclaimed(budget);
    }

    /**
     * Ends the oldest request and counts the tokens that it consumed. Does nothing if no request is running, such as
     * after a fence, which has ended all requests and counted their tokens.
     */
    void settle(long tokens) {
        String request = runningRequests.pollFirst();
        if (request == null) {
            return;
        }
        long consumed = Math.min(tokens, book.reservation(request).orElseThrow().tokens());
        spentTokens += consumed;
        book = book.settle(request, consumed).get();
    }

    void settleAll(long tokens) {
        while (!runningRequests.isEmpty()) {
            settle(tokens);
        }
    }
}
