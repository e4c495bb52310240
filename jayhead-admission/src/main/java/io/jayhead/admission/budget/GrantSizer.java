package io.jayhead.admission.budget;

import io.jayhead.model.Checks;

/**
 * Decides how many tokens to ask for, to keep and to give back.
 *
 * @param initialTokens the smallest grant worth a write
 * @param horizonMs the time that a grant should last
 * @param lowWaterMs the time of spending left at which the next grant is asked for
 */
public record GrantSizer(long initialTokens, long horizonMs, long lowWaterMs) {

    /** One ledger write for each budget and router in 10 s keeps the platform below its write limit. */
    public static final long DEFAULT_HORIZON_MS = 10_000;

    /** Covers a slow platform reply and one retry. */
    public static final long DEFAULT_LOW_WATER_MS = 3_000;

    /** Keeps a small balance through short idle times, so that an outage of the platform refuses nothing at once. */
    public static final long IDLE_RETURN_MS = 600_000;

    private static final int SHARE_DIVISOR = 2;
    private static final int LENDING_DIVISOR = 4;
    private static final int SURPLUS_FACTOR = 2;
    private static final double MS_PER_SECOND = 1_000;

    /** Checks the settings. */
    public GrantSizer {
        Checks.requireNotNegative(initialTokens, "initialTokens");
        Checks.requireNotNegative(horizonMs, "horizonMs");
        Checks.requireNotNegative(lowWaterMs, "lowWaterMs");
    }

    /**
     * Returns a sizer with the default times.
     *
     * @param initialTokens the smallest grant worth a write
     * @return the sizer
     */
    public static GrantSizer of(long initialTokens) {
        return new GrantSizer(initialTokens, DEFAULT_HORIZON_MS, DEFAULT_LOW_WATER_MS);
    }

    /**
     * Returns the tokens to ask for.
     *
     * @param tokensPerSecond the rate of reservations
     * @param missingTokens the tokens that waiting requests lack
     * @return tokens
     */
    public long desiredTokens(double tokensPerSecond, long missingTokens) {
        return missingTokens + Math.max(initialTokens, spentWithin(tokensPerSecond, horizonMs));
    }

    /**
     * Limits a grant by the unallocated rest, so that half of it stays for later and the other half is shared.
     *
     * @param desiredTokens the tokens asked for
     * @param minimumTokens the tokens that the next waiting request lacks
     * @param unallocatedTokens the unallocated rest
     * @param routers the routers that share the budget
     * @return tokens, below the minimum only if the rest does not cover it
     */
    public long limitedTokens(long desiredTokens, long minimumTokens, long unallocatedTokens, int routers) {
        long share = unallocatedTokens / ((long) SHARE_DIVISOR * Math.max(1, routers));
        long size = Math.min(desiredTokens, Math.max(minimumTokens, share));
        return Math.max(0, Math.min(size, unallocatedTokens));
    }

    /**
     * Tells whether the next grant should be asked for ahead of need.
     *
     * @param availableTokens the tokens available
     * @param tokensPerSecond the rate of reservations
     * @return true if the tokens last less than the low-water time
     */
    public boolean isLow(long availableTokens, double tokensPerSecond) {
        return availableTokens < spentWithin(tokensPerSecond, lowWaterMs);
    }

    /**
     * Returns the tokens that may be lent without running out before the next grant.
     *
     * @param availableTokens the tokens available
     * @param tokensPerSecond the rate of reservations
     * @return tokens
     */
    public long spareTokens(long availableTokens, double tokensPerSecond) {
        return Math.max(0, availableTokens - spentWithin(tokensPerSecond, lowWaterMs));
    }

    /**
     * Returns the part of a balance that a holder may lend; a reclaim counts it as spent.
     *
     * @param availableTokens the balance
     * @return tokens
     */
    public long lendingAllowanceTokens(long availableTokens) {
        return availableTokens / LENDING_DIVISOR;
    }

    /**
     * Returns the surplus to give back: all after a long idle time, else what exceeds the need by far.
     *
     * @param availableTokens the tokens available
     * @param tokensPerSecond the rate of reservations
     * @param idleMs the time since the last reservation
     * @return tokens, 0 if the surplus is not worth a write
     */
    public long surplusTokens(long availableTokens, double tokensPerSecond, long idleMs) {
        if (idleMs >= IDLE_RETURN_MS) {
            return availableTokens;
        }
        long keepTokens = SURPLUS_FACTOR * Math.max(initialTokens, spentWithin(tokensPerSecond, horizonMs));
        return availableTokens > SURPLUS_FACTOR * keepTokens ? availableTokens - keepTokens : 0;
    }

    private static long spentWithin(double tokensPerSecond, long timeMs) {
        return (long) (tokensPerSecond * timeMs / MS_PER_SECOND);
    }
}
