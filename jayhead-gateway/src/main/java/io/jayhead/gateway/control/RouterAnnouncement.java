package io.jayhead.gateway.control;

import io.jayhead.admission.prepaid.LedgerReport;

/**
 * What a router tells the others through the platform.
 *
 * @param router the name and address of the router
 * @param report what the router knew of the ledger when the era of the platform began
 */
public record RouterAnnouncement(RouterAddress router, LedgerReport report) {

    /**
     * Tells whether this announcement need not be replaced by another one of the same VM.
     *
     * @param other the other announcement
     * @return true if this one has the same address and is of the same era or a later one
     */
    public boolean isAsRecentAs(RouterAnnouncement other) {
        return router.equals(other.router) && report.era() >= other.report.era();
    }
}
