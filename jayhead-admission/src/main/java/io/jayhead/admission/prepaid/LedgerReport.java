package io.jayhead.admission.prepaid;

/**
 * Tells what one router knows of the ledger in an era of the platform, so that pages which the platform has lost can be
 * rebuilt.
 *
 * @param era the era in which the router reports
 * @param holder the name of the reporting incarnation, as in ledger pages; empty if it is unknown
 * @param continuity whether the incarnation ran during the whole time that the platform had lost when the era began
 * @param known the entries that the router has read before; its own entries are exact, those of others may be outdated
 */
public record LedgerReport(long era, String holder, Continuity continuity, LedgerPage known) {

    /** The era of a report that names none. */
    public static final long NO_ERA = -1;

    /**
     * Returns the report of a router that has told nothing.
     *
     * @return the report
     */
    public static LedgerReport none() {
        return new LedgerReport(NO_ERA, "", Continuity.NEW, LedgerPage.empty());
    }
}
