package io.jayhead.gateway.budget;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.gateway.control.BudgetListener;
import io.jayhead.gateway.log.DecisionLog;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.metrics.GatewayMetrics;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reserves prepaid tokens for requests; used by the traffic thread. */
public final class BudgetDesk implements BudgetListener {

    private static final long TICK_MS = 100;

    private final EventLoop traffic;
    private final BiConsumer<String, BudgetNeed> needs;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Map<String, BudgetAccount> accounts = new HashMap<>();

    /**
     * Creates a desk without accounts.
     *
     * @param traffic the traffic thread
     * @param needs receives what this router wants of a budget
     * @param log the log
     * @param metrics the metrics
     */
    public BudgetDesk(
            EventLoop traffic, BiConsumer<String, BudgetNeed> needs, DecisionLog log, GatewayMetrics metrics) {
        this.traffic = traffic;
        this.needs = needs;
        this.log = log;
        this.metrics = metrics;
    }

    /** Starts the periodic work. */
    public void start() {
        traffic.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reserves the most that a request can consume.
     *
     * @param organisation the organisation
     * @param prepaidTokens the size of its budget
     * @param tokens the tokens
     * @param waitMs how long the request can wait for the ledger
     * @param callback receives the result, possibly before this method returns
     */
    public void reserve(
            String organisation, long prepaidTokens, long tokens, long waitMs, Consumer<ReservationResult> callback) {
        account(organisation).reserve(prepaidTokens, tokens, waitMs, callback);
    }

    /**
     * Settles a reservation once.
     *
     * @param organisation the organisation
     * @param reservedTokens the tokens that were reserved
     * @param consumedTokens the tokens that the request consumed
     */
    public void settle(String organisation, long reservedTokens, long consumedTokens) {
        BudgetAccount account = account(organisation);
        account.settle(reservedTokens, consumedTokens);
        metrics.budget(
                organisation, account.wallet().freeTokens(), account.wallet().consumedTokens());
    }

    /** Gives all free tokens back, before the process stops. */
    public void returnAll() {
        accounts.values().forEach(BudgetAccount::returnAll);
    }

    @Override
    public void budgetRead(String organisation, long ownTokens, long leftTokens, long returnedTokens) {
        traffic.execute(() -> account(organisation).ledgerRead(ownTokens, leftTokens, returnedTokens));
    }

    @Override
    public void ledgerUnavailable() {
        traffic.execute(() -> {
            log.write(LogKind.BUDGET, "ledger unavailable", "accounts", accounts.size());
            accounts.values().forEach(BudgetAccount::ledgerUnavailable);
        });
    }

    /** One update serves all budgets, so each call takes along what the others will need soon. */
    private void joinAsking() {
        accounts.values().forEach(BudgetAccount::joinAsking);
    }

    private void tick() {
        accounts.values().forEach(BudgetAccount::tick);
    }

    private BudgetAccount account(String organisation) {
        return accounts.computeIfAbsent(
                organisation, name -> new BudgetAccount(need -> needs.accept(name, need), this::joinAsking));
    }
}
