package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.Continuity;
import io.jayhead.admission.prepaid.FleetReports;
import io.jayhead.admission.prepaid.Holder;
import io.jayhead.admission.prepaid.LedgerPage;
import io.jayhead.admission.prepaid.LedgerPages;
import io.jayhead.admission.prepaid.LedgerReport;
import io.jayhead.admission.prepaid.RebuiltLedger;
import io.jayhead.gateway.log.LogKind;
import io.jayhead.gateway.log.StructuredLog;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Decides when the ledger pages of a new era may be created, and with which content; used by the control thread.
 *
 * <p>Pages that the platform came back with lack what routers have taken since its copy. So a page is created once all
 * known routers have reported what they hold, or the time for reports has passed.
 */
final class LedgerRecovery {

    /** Longer than a router takes to notice that the platform answers again, to report and to be read. */
    private static final long REPORT_WAIT_MS = 3_000;

    private final String vmName;
    private final PlatformClient platform;
    private final PlatformHealth health;
    private final EventLoop loop;
    private final StructuredLog log;
    private final Supplier<Map<String, Long>> prepaidTokens;
    private final Runnable onReady;
    private final Backoff backoff = new Backoff();
    private FleetReports reports = FleetReports.empty();
    private Optional<Map<String, LedgerPage>> storedPages = Optional.empty();
    private final long startedAtNs = System.nanoTime();
    private double ranS;
    private Continuity earlierContinuity = Continuity.CONTINUOUS;
    private boolean routersListed;
    private boolean listInFlight;
    private boolean waitIsOver;
    private boolean ready;

    /**
     * Creates an instance for a platform whose era is unknown.
     *
     * @param vmName the VM of this router
     * @param platform the client of the platform
     * @param health tracks whether the platform answers
     * @param loop the control thread
     * @param log receives the outcome of a recovery
     * @param prepaidTokens returns the sizes of the budgets, by organisation; those without a limit are left out
     * @param onReady is called when pages may be created
     */
    LedgerRecovery(
            String vmName,
            PlatformClient platform,
            PlatformHealth health,
            EventLoop loop,
            StructuredLog log,
            Supplier<Map<String, Long>> prepaidTokens,
            Runnable onReady) {
        this.vmName = vmName;
        this.platform = platform;
        this.health = health;
        this.loop = loop;
        this.log = log;
        this.prepaidTokens = prepaidTokens;
        this.onReady = onReady;
    }

    /** Begins an era, in which all routers must report again. */
    void begin(long era) {
        boolean restored = reports.era() != LedgerReport.NO_ERA;
        if (reports.hasReported(vmName)) {
            earlierContinuity = reports.byVm().get(vmName).continuity();
        }
        ranS = restored ? (System.nanoTime() - startedAtNs - health.quietNs()) / 1e9 : 0;
        reports = reports.inEra(era);
        storedPages = Optional.empty();
        routersListed = false;
        waitIsOver = false;
        ready = false;
        loop.schedule(() -> endWait(era), REPORT_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    long era() {
        return reports.era();
    }

    /** Returns the report of an incarnation that has read the given entries. */
    LedgerReport reportOf(Holder holder, LedgerPage known) {
        return reports.reportOf(holder.vmName(), holder.name(), ranS, earlierContinuity, known);
    }

    /** Tells whether routers have to report before pages can be created. */
    boolean isAwaitingReports() {
        return !ready && !waitIsOver && !reports.isComplete(vmName);
    }

    /** Tells whether this router creates all pages of the era, not only those that it needs. */
    boolean createsPages() {
        return reports.createsPages(vmName);
    }

    /** Takes over the reports in announcements of routers. */
    void routersRead(RouterListing listing) {
        routersListed = true;
        for (RouterAnnouncement announcement : listing.routers()) {
            reports = reports.with(announcement.router().vmName(), announcement.report());
        }
        checkReady();
    }

    /**
     * Returns the content with which a page of this era may be created.
     *
     * @param page the index of the page
     * @return the content; empty if the page may not be created yet
     */
    Optional<LedgerPage> initialPage(int page) {
        if (storedPages.isEmpty()) {
            readStoredPages();
        }
        return ready ? Optional.of(rebuild().page(page)) : Optional.empty();
    }

    private void endWait(long ofEra) {
        if (ofEra == reports.era()) {
            waitIsOver = true;
            checkReady();
        }
    }

    private void readStoredPages() {
        if (listInFlight) {
            return;
        }
        listInFlight = true;
        long eraAtSend = reports.era();
        platform.listLedgers().whenComplete((pages, failure) -> {
            listInFlight = false;
            if (failure != null) {
                retry(failure);
                return;
            }
            health.succeeded("list ledger");
            backoff.reset();
            if (eraAtSend == reports.era()) {
                storedPages = Optional.of(pages);
                checkReady();
            } else {
                readStoredPages();
            }
        });
    }

    private void retry(Throwable failure) {
        health.failed("list ledger", failure);
        if (!health.awaitRecovery(this::readStoredPages)) {
            loop.schedule(this::readStoredPages, backoff.next(), TimeUnit.MILLISECONDS);
        }
    }

    private void checkReady() {
        boolean complete = routersListed && reports.isComplete(vmName);
        if (ready || !complete && !waitIsOver) {
            return;
        }
        if (storedPages.isEmpty()) {
            if (createsPages()) {
                readStoredPages();
            }
            return;
        }
        ready = true;
        logOutcome(rebuild());
        onReady.run();
    }

    private RebuiltLedger rebuild() {
        LedgerPage copy = LedgerPage.empty();
        for (int page = 0; page < LedgerPages.COUNT; page++) {
            copy = copy.mergeGreatest(LedgerPages.newestBefore(page, reports.era(), storedPages.orElseThrow()));
        }
        return reports.rebuild(copy, prepaidTokens.get());
    }

    private void logOutcome(RebuiltLedger ledger) {
        if (ledger.entries().entries().isEmpty()) {
            return;
        }
        log.write(
                LogKind.DEPENDENCY,
                "ledger rebuilt",
                "era",
                reports.era(),
                "reported_routers",
                reports.byVm().size() - reports.missingVms().size(),
                "missing_routers",
                reports.missingVms(),
                "written_off_tokens",
                ledger.writtenOffTokens());
    }
}
