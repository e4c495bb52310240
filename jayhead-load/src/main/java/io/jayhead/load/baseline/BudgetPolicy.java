package io.jayhead.load.baseline;

import java.util.Locale;

/** Lists the policies by which routers share a budget. */
public enum BudgetPolicy {
    /** Each router gets an equal share of the tokens at the start and nothing later. */
    FIXED_SPLIT,
    /** Routers get grants from the ledger on demand. */
    ESCROW,
    /** Like {@link #ESCROW}, but other routers return unused tokens when the ledger cannot cover a request. */
    ESCROW_WITH_RETURNS;

    /**
     * Returns the name in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
