package io.jayhead.load.baseline;

import java.util.Locale;

/** Lists the ways in which routers share a budget. */
public enum BudgetPolicy {
    /** Each router gets an equal part at the start and nothing later. */
    FIXED_SPLIT,
    /** Routers get grants from the ledger on demand. */
    ESCROW,
    /** As {@link #ESCROW}; other routers give unused tokens back when the ledger cannot cover a request. */
    ESCROW_WITH_RETURNS;

    /**
     * Returns the name in reports.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
