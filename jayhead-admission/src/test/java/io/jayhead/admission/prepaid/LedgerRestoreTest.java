package io.jayhead.admission.prepaid;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards against overspending a budget over several returns of the store from older copies, when routers report in any
 * order, late, or after the pages were rebuilt without them, and when a router is killed since the copy while its
 * replicas live.
 */
class LedgerRestoreTest {

    private static final String ORGANISATION = "shop";
    private static final long PREPAID_TOKENS = 10_000;
    private static final int ROUTERS = 3;
    private static final int STEPS = 60;

    private final List<LedgerSession> sessions = new ArrayList<>();
    private final Set<Integer> replacedSinceCopy = new HashSet<>();
    private LedgerPage replicated;
    private long lostTokens;
    private VersionedPage stored;
    private VersionedPage copy;
    private long era;
    private FleetReports reports;

    @Property(tries = 2_000)
    void routersNeverOwnMoreThanThePrepaidTokens(@ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        start();
        for (int step = 0; step < STEPS; step++) {
            int router = random.nextInt(ROUTERS);
            switch (random.nextInt(9)) {
                case 0 -> keepCopy();
                case 1 -> restore(random);
                case 8 -> kill(router, step);
                case 2 -> sessions.set(router, returnHalf(sessions.get(router)));
                default -> update(router, 1 + random.nextInt(3_000));
            }
            long ownedTokens = lostTokens
                    + sessions.stream()
                            .mapToLong(session -> session.ownTokens(ORGANISATION))
                            .sum();
            assertTrue(ownedTokens <= PREPAID_TOKENS, "owned " + ownedTokens + " after step " + step);
        }
    }

    private void start() {
        sessions.clear();
        for (int router = 0; router < ROUTERS; router++) {
            sessions.add(LedgerSession.of(new Holder("vm-" + router, 1, "n")));
        }
        stored = new VersionedPage(LedgerPage.empty(), 1);
        replicated = LedgerPage.empty();
        lostTokens = 0;
        keepCopy();
        era = 1;
        reports = FleetReports.empty();
    }

    private void keepCopy() {
        copy = stored;
        replacedSinceCopy.clear();
    }

    /** Replaces a router by a new incarnation, unless that would end a replica of one that was replaced before. */
    private void kill(int router, int step) {
        if (!replacedSinceCopy.isEmpty()) {
            return;
        }
        replacedSinceCopy.add(router);
        LedgerSession killed = sessions.get(router);
        lostTokens += killed.ownTokens(ORGANISATION);
        sessions.set(router, LedgerSession.of(new Holder(killed.holder().vmName(), step + 2, "n")));
    }

    /** Goes back to the copy; all routers report in random order, as each notices the return. */
    private void restore(Random random) {
        era++;
        reports = reports.inEra(era);
        int first = random.nextInt(ROUTERS);
        for (int index = 0; index < ROUTERS; index++) {
            int router = (first + index) % ROUTERS;
            sessions.set(router, sessions.get(router).restored());
            LedgerSession session = sessions.get(router);
            String holder = session.holder().name();
            Continuity continuity = replacedSinceCopy.contains(router) ? Continuity.REPLACED : Continuity.CONTINUOUS;
            LedgerPage known = replicated.without(holder).mergeGreatest(session.knownPage());
            reports = reports.with(session.holder().vmName(), new LedgerReport(era, holder, continuity, known));
        }
        stored = new VersionedPage(
                reports.rebuild(copy.page(), Map.of(ORGANISATION, PREPAID_TOKENS))
                        .entries(),
                copy.revision());
        keepCopy();
    }

    private void update(int router, long tokens) {
        LedgerSession session = sessions.get(router).withPage(stored);
        Map<String, BudgetNeed> needs = Map.of(ORGANISATION, new BudgetNeed(tokens, 0, 100, 0));
        Optional<LedgerUpdate> update = session.nextUpdate(needs, organisation -> OptionalLong.of(PREPAID_TOKENS), 1);
        if (update.isPresent()) {
            stored = new VersionedPage(update.get().page(), stored.revision() + 1);
            session = session.withInFlight(update.get());
        }
        session = session.withPage(stored);
        sessions.set(router, session);
        LedgerEntry entry = stored.page().entry(ORGANISATION, session.holder().name());
        replicated = replicated.with(ORGANISATION, session.holder().name(), entry);
    }

    private static LedgerSession returnHalf(LedgerSession session) {
        long tokens = session.ownTokens(ORGANISATION) / 2;
        return tokens == 0 ? session : session.withReturn(ORGANISATION, tokens);
    }
}
