package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerReport;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Announces this router through the platform, once in each era, and again if the announcement is lost or changed; used
 * by the control thread.
 */
final class RouterAnnouncer {

    private final PlatformClient platform;
    private final PlatformHealth health;
    private final EventLoop loop;
    private final RouterAddress self;
    private final Supplier<LedgerReport> report;
    private final Backoff backoff = new Backoff();
    private long era = LedgerReport.NO_ERA;
    private boolean callInFlight;
    private boolean announced;

    /**
     * Creates an instance that has announced nothing.
     *
     * @param platform the client of the platform
     * @param health tracks whether the platform answers
     * @param loop the control thread
     * @param self the name and address of this router
     * @param report returns what this router knows of the ledger
     */
    RouterAnnouncer(
            PlatformClient platform,
            PlatformHealth health,
            EventLoop loop,
            RouterAddress self,
            Supplier<LedgerReport> report) {
        this.platform = platform;
        this.health = health;
        this.loop = loop;
        this.self = self;
        this.report = report;
    }

    /** Begins an era, in which this router must be announced again. */
    void begin(long newEra) {
        era = newEra;
        announced = false;
    }

    /** Announces this router unless the announcements of the platform show that it is known already. */
    void routersRead(RouterListing listing) {
        listing.routers().stream()
                .filter(found -> found.router().vmName().equals(self.vmName()))
                .forEach(own ->
                        announced = own.router().equals(self) && own.report().era() >= era);
        announce();
    }

    private void announce() {
        if (callInFlight || announced) {
            return;
        }
        callInFlight = true;
        long eraAtSend = era;
        platform.announce(new RouterAnnouncement(self, report.get())).whenComplete((done, failure) -> {
            callInFlight = false;
            if (failure != null) {
                retry(failure);
                return;
            }
            health.succeeded("announce");
            backoff.reset();
            announced = eraAtSend == era;
            announce();
        });
    }

    private void retry(Throwable failure) {
        health.failed("announce", failure);
        if (!health.awaitRecovery(this::announce)) {
            loop.schedule(this::announce, backoff.next(), TimeUnit.MILLISECONDS);
        }
    }
}
