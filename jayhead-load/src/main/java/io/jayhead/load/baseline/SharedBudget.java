package io.jayhead.load.baseline;

import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantBook;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.admission.budget.RateEstimate;
import io.jayhead.model.BudgetId;
import io.jayhead.model.Either;
import io.jayhead.model.IncarnationId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

/** Simulates one budget with its ledger and the grant books of all routers. Ledger writes take no time. */
final class SharedBudget {

    private final BudgetId id;
    private final BudgetPolicy policy;
    private final GrantSizer sizer;
    private final List<GrantBook> books = new ArrayList<>();
    private final List<RateEstimate> rates = new ArrayList<>();
    private BudgetLedger ledger;
    private long ledgerWrites;

    SharedBudget(BudgetId id, BudgetPolicy policy, GrantSizer sizer, long paidTokens, int routers) {
        this.id = id;
        this.policy = policy;
        this.sizer = sizer;
        this.ledger = getOrThrow(BudgetLedger.empty(id).topUp("paid", paidTokens));
        for (int router = 0; router < routers; router++) {
            books.add(GrantBook.empty());
            rates.add(RateEstimate.zero(0));
            ledger = getOrThrow(ledger.open(incarnation(router)));
        }
        if (policy == BudgetPolicy.FIXED_SPLIT) {
            IntStream.range(0, routers).forEach(router -> grant(router, paidTokens / routers));
        }
    }

    /**
     * Reserves the worst case of a request and returns whether this succeeded. If tokens are missing, requests a grant
     * first, except under a fixed split.
     */
    boolean reserve(int router, String request, long worstCaseTokens, long nowMs) {
        RateEstimate rate = rates.get(router).observe(worstCaseTokens, nowMs);
        rates.set(router, rate);
        long missingTokens = worstCaseTokens - account(router).availableTokens();
        if (missingTokens > 0 && policy != BudgetPolicy.FIXED_SPLIT) {
            requestGrant(router, missingTokens, rate.at(nowMs));
        }
        Either<?, GrantBook> reserved = books.get(router).reserve(id, request, worstCaseTokens);
        books.set(router, reserved.fold(refusal -> books.get(router), book -> book));
        return reserved.isRight();
    }

    void reduce(int router, String request, long refundTokens) {
        books.set(router, getOrThrow(books.get(router).reduce(request, refundTokens)));
    }

    void settle(int router, String request, long consumedTokens) {
        books.set(router, getOrThrow(books.get(router).settle(request, consumedTokens)));
    }

    /** Returns the tokens that no request has reserved or consumed, in the ledger or at routers. */
    long unusedTokens() {
        return ledger.unallocatedTokens() + heldTokens();
    }

    /** Returns the tokens at routers that no request has reserved or consumed. */
    long heldTokens() {
        return sum(GrantAccount::availableTokens);
    }

    long overspendTokens() {
        return Math.max(0, consumedTokens() - ledger.paidTokens());
    }

    long consumedTokens() {
        return sum(GrantAccount::consumedTokens);
    }

    long ledgerWrites() {
        return ledgerWrites;
    }

    private void requestGrant(int router, long missingTokens, double tokensPerSecond) {
        if (policy == BudgetPolicy.ESCROW_WITH_RETURNS && missingTokens > ledger.unallocatedTokens()) {
            collectReturns(router, missingTokens);
        }
        long desiredTokens = sizer.desiredTokens(tokensPerSecond, missingTokens);
        long tokens = sizer.limitedTokens(desiredTokens, missingTokens, ledger.unallocatedTokens(), books.size());
        if (tokens >= missingTokens) {
            grant(router, tokens);
        }
    }

    /**
     * Returns unused tokens of the other routers to the ledger, largest balance first, until the request is covered.
     * Returns none if all of them together could not cover it.
     */
    private void collectReturns(int router, long missingTokens) {
        List<Integer> others = IntStream.range(0, books.size())
                .filter(other -> other != router)
                .boxed()
                .sorted(Comparator.comparingLong(
                        (Integer other) -> -account(other).availableTokens()))
                .toList();
        long reachableTokens = ledger.unallocatedTokens()
                + others.stream()
                        .mapToLong(other -> books.get(other).returnableTokens(id, 0))
                        .sum();
        if (reachableTokens < missingTokens) {
            return;
        }
        for (int other : others) {
            long tokens =
                    Math.min(books.get(other).returnableTokens(id, 0), missingTokens - ledger.unallocatedTokens());
            if (tokens <= 0) {
                return;
            }
            books.set(other, getOrThrow(books.get(other).deductReturn(id, tokens)));
            ledger = getOrThrow(ledger.returnTokens(incarnation(other), tokens));
            ledgerWrites++;
        }
    }

    private void grant(int router, long tokens) {
        ledger = getOrThrow(ledger.grant(incarnation(router), tokens));
        books.set(router, books.get(router).grant(id, tokens));
        ledgerWrites++;
    }

    private GrantAccount account(int router) {
        return books.get(router).account(id);
    }

    private long sum(ToLongFunction<GrantAccount> tokens) {
        return books.stream().map(book -> book.account(id)).mapToLong(tokens).sum();
    }

    private static IncarnationId incarnation(int router) {
        return IncarnationId.of("router-" + router);
    }

    private static <R> R getOrThrow(Either<?, R> result) {
        return result.fold(
                refusal -> {
                    throw new IllegalStateException("refused: " + refusal);
                },
                value -> value);
    }
}
