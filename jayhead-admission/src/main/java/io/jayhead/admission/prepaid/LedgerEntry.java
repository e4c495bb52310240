package io.jayhead.admission.prepaid;

/**
 * Holds the entry of one router for one budget.
 *
 * @param takenTokens the total tokens that the router has taken, minus those returned
 * @param tokensPerS the demand of the router when it wrote the entry, in tokens per second; other routers limit their
 *     prefetching by it
 */
public record LedgerEntry(long takenTokens, long tokensPerS) {

    /** The entry of a router that has not written any. */
    public static final LedgerEntry NONE = new LedgerEntry(0, 0);
}
