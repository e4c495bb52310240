package io.jayhead.admission.prepaid;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Simulates routers that share one page of a store, with the session of each router. */
final class LedgerSimulation {

    private static final String ORGANISATION = "shop";

    private final long prepaidTokens;
    private final LedgerSession[] sessions;
    private final long[] spentTokens;
    private final Deque<LedgerUpdate> delayedUpdates = new ArrayDeque<>();
    private VersionedPage stored = new VersionedPage(LedgerPage.empty(), 1);
    private Map<String, BudgetNeed> needs = Map.of();
    private long strandedTokens;
    private int incarnations;

    LedgerSimulation(int routers, long prepaidTokens) {
        this.prepaidTokens = prepaidTokens;
        this.sessions = new LedgerSession[routers];
        this.spentTokens = new long[routers];
        for (int router = 0; router < routers; router++) {
            sessions[router] = newSession();
        }
    }

    long prepaidTokens() {
        return prepaidTokens;
    }

    void apply(LedgerStep step) {
        int router = step.router();
        switch (step.action()) {
            case TAKE -> update(router, step.tokens(), Delivery.ANSWERED);
            case TAKE_ANSWER_LOST -> update(router, step.tokens(), Delivery.ANSWER_LOST);
            case TAKE_LATE -> update(router, step.tokens(), Delivery.LATE);
            case GIVE_BACK -> returnTokens(router, step.tokens(), Delivery.ANSWERED);
            case GIVE_BACK_ANSWER_LOST -> returnTokens(router, step.tokens(), Delivery.ANSWER_LOST);
            case GIVE_BACK_LATE -> returnTokens(router, step.tokens(), Delivery.LATE);
            case LATE_ARRIVES -> Optional.ofNullable(delayedUpdates.poll()).ifPresent(this::store);
            case READ -> sessions[router] = sessions[router].withPage(stored);
            case KILL -> kill(router);
            default -> throw new IllegalArgumentException("unknown step " + step);
        }
        spendHalf(router);
    }

    long totalOwnedTokens() {
        return strandedTokens
                + Arrays.stream(sessions)
                        .mapToLong(session -> session.ownTokens(ORGANISATION))
                        .sum();
    }

    boolean storeCoversSpentTokens() {
        for (int router = 0; router < sessions.length; router++) {
            if (stored.page()
                            .takenTokens(ORGANISATION, sessions[router].holder().name())
                    < spentTokens[router]) {
                return false;
            }
        }
        return true;
    }

    void completePendingUpdates() {
        delayedUpdates.clear();
        for (int router = 0; router < sessions.length; router++) {
            while (sessions[router].inFlight().isPresent()
                    || !sessions[router].pendingReturns().isEmpty()) {
                sessions[router] = sessions[router].withPage(stored);
                send(router, Delivery.ANSWERED);
            }
            sessions[router] = sessions[router].withPage(stored);
        }
    }

    boolean pageAgreesWithSessions() {
        return Arrays.stream(sessions)
                .allMatch(session -> session.ownTokens(ORGANISATION)
                        == stored.page()
                                .takenTokens(ORGANISATION, session.holder().name()));
    }

    private void update(int router, long tokens, Delivery delivery) {
        needs = Map.of(ORGANISATION, new BudgetNeed(tokens, 0, 100, 0));
        send(router, delivery);
        needs = Map.of();
    }

    private void returnTokens(int router, long tokens, Delivery delivery) {
        long unspentTokens = sessions[router].ownTokens(ORGANISATION) - spentTokens[router];
        if (unspentTokens > 0) {
            sessions[router] = sessions[router].withReturn(ORGANISATION, Math.min(unspentTokens, tokens));
        }
        send(router, delivery);
    }

    /** Sends an update like the ledger updater: an update in flight is read back and repeated before the next one. */
    private void send(int router, Delivery delivery) {
        if (sessions[router].inFlight().isPresent() || !sessions[router].isRead()) {
            sessions[router] = sessions[router].withPage(stored);
        }
        LedgerSession session = sessions[router];
        Optional<LedgerUpdate> update = session.inFlight().isPresent()
                ? session.inFlight()
                : session.nextUpdate(needs, organisation -> OptionalLong.of(prepaidTokens), GrantRule.MAX_PREFETCH_S);
        if (update.isEmpty()) {
            return;
        }
        sessions[router] = session.withInFlight(update.get());
        if (delivery == Delivery.LATE) {
            delayedUpdates.add(update.get());
            return;
        }
        store(update.get());
        if (delivery == Delivery.ANSWERED) {
            sessions[router] = sessions[router].withPage(stored);
        }
    }

    private void store(LedgerUpdate update) {
        if (update.baseRevision() == stored.revision()) {
            stored = new VersionedPage(update.page(), stored.revision() + 1);
        }
    }

    /** Counts half of the tokens that a router owns as spent, so that the other half can be returned. */
    private void spendHalf(int router) {
        spentTokens[router] = Math.max(spentTokens[router], sessions[router].ownTokens(ORGANISATION) / 2);
    }

    private void kill(int router) {
        strandedTokens += spentTokens[router];
        sessions[router] = newSession();
        spentTokens[router] = 0;
    }

    private LedgerSession newSession() {
        incarnations++;
        return LedgerSession.of(new Holder("vm-" + incarnations % 4, incarnations, "n"));
    }

    private enum Delivery {
        ANSWERED,
        ANSWER_LOST,
        LATE
    }
}
