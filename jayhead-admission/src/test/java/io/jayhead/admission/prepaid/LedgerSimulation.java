package io.jayhead.admission.prepaid;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Routers that share one page of a store; keeps what each of them believes to own. */
final class LedgerWorld {

    private static final String ORGANISATION = "shop";

    private final long prepaidTokens;
    private final LedgerSession[] sessions;
    private final long[] mostSpent;
    private final Deque<LedgerUpdate> late = new ArrayDeque<>();
    private VersionedPage stored = new VersionedPage(LedgerPage.empty(), 1);
    private Map<String, BudgetNeed> needs = Map.of();
    private long strandedTokens;
    private int incarnations;

    LedgerWorld(int routers, long prepaidTokens) {
        this.prepaidTokens = prepaidTokens;
        this.sessions = new LedgerSession[routers];
        this.mostSpent = new long[routers];
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
            case GIVE_BACK -> giveBack(router, step.tokens(), Delivery.ANSWERED);
            case GIVE_BACK_ANSWER_LOST -> giveBack(router, step.tokens(), Delivery.ANSWER_LOST);
            case GIVE_BACK_LATE -> giveBack(router, step.tokens(), Delivery.LATE);
            case LATE_ARRIVES -> Optional.ofNullable(late.poll()).ifPresent(this::store);
            case READ -> sessions[router] = sessions[router].read(stored);
            case KILL -> kill(router);
            default -> throw new IllegalArgumentException("unknown step " + step);
        }
        spendAll(router);
    }

    long ownedByAll() {
        return strandedTokens
                + Arrays.stream(sessions)
                        .mapToLong(session -> session.ownTokens(ORGANISATION))
                        .sum();
    }

    boolean nobodyOwnsLessThanItSpent() {
        for (int router = 0; router < sessions.length; router++) {
            if (stored.page().taken(ORGANISATION, sessions[router].holder().name()) < mostSpent[router]) {
                return false;
            }
        }
        return true;
    }

    void settleAll() {
        late.clear();
        for (int router = 0; router < sessions.length; router++) {
            while (sessions[router].inFlight().isPresent()
                    || !sessions[router].pendingReturns().isEmpty()) {
                sessions[router] = sessions[router].read(stored);
                send(router, Delivery.ANSWERED);
            }
            sessions[router] = sessions[router].read(stored);
        }
    }

    boolean pageAgreesWithSessions() {
        return Arrays.stream(sessions)
                .allMatch(session -> session.ownTokens(ORGANISATION)
                        == stored.page().taken(ORGANISATION, session.holder().name()));
    }

    private void update(int router, long tokens, Delivery delivery) {
        needs = Map.of(ORGANISATION, new BudgetNeed(tokens, 0, 100, 0));
        send(router, delivery);
        needs = Map.of();
    }

    private void giveBack(int router, long tokens, Delivery delivery) {
        long unspent = sessions[router].ownTokens(ORGANISATION) - mostSpent[router];
        if (unspent > 0) {
            sessions[router] = sessions[router].withReturn(ORGANISATION, Math.min(unspent, tokens));
        }
        send(router, delivery);
    }

    /** Sends as the updater of a page does: an open update is read and repeated before another one is made. */
    private void send(int router, Delivery delivery) {
        if (sessions[router].inFlight().isPresent() || !sessions[router].isRead()) {
            sessions[router] = sessions[router].read(stored);
        }
        LedgerSession session = sessions[router];
        Optional<LedgerUpdate> update = session.inFlight().isPresent()
                ? session.inFlight()
                : session.nextUpdate(needs, organisation -> OptionalLong.of(prepaidTokens), GrantRule.MAX_AHEAD_S);
        if (update.isEmpty()) {
            return;
        }
        sessions[router] = session.sending(update.get());
        if (delivery == Delivery.LATE) {
            late.add(update.get());
            return;
        }
        store(update.get());
        if (delivery == Delivery.ANSWERED) {
            sessions[router] = sessions[router].read(stored);
        }
    }

    private void store(LedgerUpdate update) {
        if (update.baseRevision() == stored.revision()) {
            stored = new VersionedPage(update.page(), stored.revision() + 1);
        }
    }

    /** Half of what a router owns counts as spent, so that the rest can be given back. */
    private void spendAll(int router) {
        mostSpent[router] = Math.max(mostSpent[router], sessions[router].ownTokens(ORGANISATION) / 2);
    }

    private void kill(int router) {
        strandedTokens += mostSpent[router];
        sessions[router] = newSession();
        mostSpent[router] = 0;
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
