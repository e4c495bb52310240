package io.jayhead.admission.prepaid;

/**
 * What one router has written about one budget.
 *
 * @param takenTokens the tokens that it has taken in total
 * @param tokensPerS its demand when it wrote the entry; shares of what is left follow it
 */
public record LedgerEntry(long takenTokens, long tokensPerS) {

    /** The entry of a router that has written nothing. */
    public static final LedgerEntry NONE = new LedgerEntry(0, 0);
}
