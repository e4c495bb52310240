package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.BudgetNeed;
import io.jayhead.admission.prepaid.GrantRule;
import io.jayhead.admission.prepaid.Holder;
import io.jayhead.admission.prepaid.LedgerEntry;
import io.jayhead.admission.prepaid.LedgerPage;
import io.jayhead.admission.prepaid.LedgerPages;
import io.jayhead.admission.prepaid.LedgerSession;
import io.jayhead.admission.prepaid.LedgerUpdate;
import io.jayhead.admission.prepaid.VersionedPage;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Updates this router's entries in one ledger page; used by the control thread, with one call at a time. */
final class LedgerUpdater {

    /** Needs without waiting requests are collected for this time, so that one call serves several budgets. */
    private static final long COLLECT_MS = 300;

    private final int page;
    private final LedgerRecovery recovery;
    private final PlatformClient platform;
    private final PlatformHealth health;
    private final EventLoop loop;
    private final StructuredLog log;
    private final Function<String, OptionalLong> prepaidTokens;
    private final BudgetListener listener;
    private final EntryReplicator replicator;
    private final Map<String, BudgetNeed> needs = new HashMap<>();
    private final Map<String, Long> returnedTokens = new HashMap<>();
    private final Set<String> pendingOrganisations = new HashSet<>();
    private final Backoff backoff = new Backoff();
    private LedgerSession session;
    private boolean callInFlight;
    private boolean callScheduled;
    private boolean readRequired = true;
    private boolean pageMissing;
    private boolean awaitingRecovery;

    LedgerUpdater(
            int page,
            LedgerRecovery recovery,
            Holder holder,
            PlatformClient platform,
            PlatformHealth health,
            EventLoop loop,
            StructuredLog log,
            Function<String, OptionalLong> prepaidTokens,
            BudgetListener listener,
            EntryReplicator replicator) {
        this.page = page;
        this.recovery = recovery;
        this.platform = platform;
        this.health = health;
        this.loop = loop;
        this.log = log;
        this.prepaidTokens = prepaidTokens;
        this.listener = listener;
        this.replicator = replicator;
        this.session = LedgerSession.of(holder);
    }

    void updateNeed(String organisation, BudgetNeed need) {
        if (need.returnedTokens() > 0) {
            session = session.withReturn(organisation, need.returnedTokens());
            returnedTokens.merge(organisation, need.returnedTokens(), Long::sum);
        }
        if (need.wantsTokens()) {
            needs.put(organisation, need);
        }
        pendingOrganisations.add(organisation);
        if (awaitingRecovery || pageMissing && recovery.isAwaitingReports()) {
            listener.ledgerUnavailable();
        }
        if (awaitingRecovery) {
            return;
        }
        if (need.requiredTokens() > 0) {
            callNext();
        } else {
            callNextAfter(COLLECT_MS);
        }
    }

    /** Returns what this router knows of the page, with its own entries as they should be. */
    LedgerPage knownPage() {
        return session.knownPage();
    }

    /** Prepares for reading the page of a new era of the platform. */
    void restored() {
        session = session.restored();
        pageMissing = false;
        if (!needs.isEmpty()) {
            callNext();
        }
    }

    /** Creates the page if that was not possible before, or corrects it if it was created without this router. */
    void pagesMayBeCreated() {
        pageMissing |= recovery.createsPages() && !session.isRead();
        if (pageMissing || session.needsCorrection()) {
            callNext();
        }
    }

    void callNext() {
        if (callInFlight || awaitingRecovery) {
            return;
        }
        String pageName = LedgerPages.name(page, recovery.era());
        if (pageMissing) {
            recovery.initialPage(page)
                    .ifPresent(initial -> call("create ledger", platform.createLedger(pageName, initial)));
            return;
        }
        if (!session.isRead() || readRequired) {
            call("read ledger", platform.readLedger(pageName));
            return;
        }
        Optional<LedgerUpdate> update = session.inFlight().isPresent()
                ? session.inFlight()
                : session.nextUpdate(needs, prepaidTokens, GrantRule.prefetchLimitS(health.reachableForS()));
        if (update.isPresent()) {
            session = session.withInFlight(update.get());
            call("update ledger", platform.updateLedger(pageName, update.get()));
        } else if (needs.values().stream().anyMatch(need -> need.requiredTokens() > 0)) {
            needs.clear();
            readRequired = true;
            callNext();
        } else {
            needs.clear();
            pendingOrganisations.forEach(listener::budgetUnchanged);
            pendingOrganisations.clear();
        }
    }

    private void call(String name, CompletionStage<VersionedPage> stage) {
        callInFlight = true;
        stage.whenComplete((answer, failure) -> {
            callInFlight = false;
            if (failure == null) {
                succeeded(name, answer);
            } else if (!session.isRead() && PlatformException.faultOf(failure) == PlatformFault.MISSING) {
                health.succeeded(name);
                pageMissing = true;
                callNext();
            } else {
                failed(name, failure);
            }
        });
    }

    private void succeeded(String name, VersionedPage answer) {
        health.succeeded(name);
        backoff.reset();
        readRequired = false;
        pageMissing = false;
        LedgerPage previousPage = session.latestPage().page();
        session = session.withPage(answer);
        Set<String> answeredOrganisations = new HashSet<>(pendingOrganisations);
        pendingOrganisations.clear();
        replicator.entriesChanged(changedEntries(answeredOrganisations, previousPage));
        boolean updatePending = session.inFlight().isPresent() || session.needsCorrection();
        for (String organisation : answeredOrganisations) {
            needs.remove(organisation);
            publish(organisation);
        }
        if (updatePending || !needs.isEmpty()) {
            callNextAfter(updatePending ? 0 : COLLECT_MS);
        }
    }

    private Map<String, LedgerEntry> changedEntries(Set<String> organisations, LedgerPage previousPage) {
        String holder = session.holder().name();
        Map<String, LedgerEntry> changed = new HashMap<>();
        for (String organisation : organisations) {
            LedgerEntry entry = session.latestPage().page().entry(organisation, holder);
            if (!entry.equals(previousPage.entry(organisation, holder))) {
                changed.put(organisation, entry);
            }
        }
        return changed;
    }

    private void publish(String organisation) {
        long ownTokens = session.ownTokens(organisation);
        long leftTokens = session.leftTokens(
                organisation, prepaidTokens.apply(organisation).orElse(0));
        log.write(
                LogKind.BUDGET,
                "ledger page read",
                "organisation",
                organisation,
                "own_tokens",
                ownTokens,
                "left_tokens",
                leftTokens,
                "revision",
                session.latestPage().revision());
        listener.budgetRead(organisation, ownTokens, leftTokens, returnedTokens.getOrDefault(organisation, 0L));
    }

    private void failed(String name, Throwable failure) {
        health.failed(name, failure);
        log.write(
                LogKind.BUDGET,
                "ledger call failed",
                "call",
                name,
                "page",
                LedgerPages.name(page, recovery.era()),
                "fault",
                PlatformException.faultOf(failure),
                "organisations",
                pendingOrganisations,
                "known_revision",
                session.latestPage().revision());
        readRequired = session.isRead();
        listener.ledgerUnavailable();
        awaitingRecovery = health.awaitRecovery(this::platformRecovered);
        if (!awaitingRecovery) {
            callNextAfter(backoff.next());
        }
    }

    private void platformRecovered() {
        awaitingRecovery = false;
        callNext();
    }

    private void callNextAfter(long delayMs) {
        if (callScheduled) {
            return;
        }
        callScheduled = true;
        loop.schedule(
                () -> {
                    callScheduled = false;
                    callNext();
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }
}
