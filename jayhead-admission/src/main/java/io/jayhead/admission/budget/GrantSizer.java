package io.jayhead.admission.budget;

import io.jayhead.model.Checks;

/**
 * Decides how many tokens to request, keep, lend and return.
 *
 * @param initialTokens the smallest grant that is worth a ledger write
 * @param horizonMs the time for which a grant should last at the current rate
 * @param lowWatermarkMs the low watermark: the next grant is requested when the available tokens last less than this
 *     time
 */
public record GrantSizer(long initialTokens, long horizonMs, long lowWatermarkMs) {

    /** One ledger write per budget and router every 10 s keeps the platform below its write limit. */
    public static final long DEFAULT_HORIZON_MS = 10_000;

    /** Leaves time for a slow reply of the platform and one retry. */
    public static final long DEFAULT_LOW_WATERMARK_MS = 3_000;

    /**
     * The idle time after which all available tokens are returned. Shorter idle times keep a small balance, so that a
     * platform outage does not refuse requests at once.
     */
    public static final long IDLE_RETURN_MS = 600_000;

    private static final int UNALLOCATED_SHARE_DIVISOR = 2;
    private static final int LENDING_ALLOWANCE_DIVISOR = 4;
    private static final int SURPLUS_FACTOR = 2;
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a setting is negative
     */
    public GrantSizer {
        Checks.requireNotNegative(initialTokens, "initialTokens");
        Checks.requireNotNegative(horizonMs, "horizonMs");
        Checks.requireNotNegative(lowWatermarkMs, "lowWatermarkMs");
    }

    /**
     * Returns a sizer with the default times.
     *
     * @param initialTokens the smallest grant that is worth a ledger write
     * @return the sizer
     */
    public static GrantSizer of(long initialTokens) {
        return new GrantSizer(initialTokens, DEFAULT_HORIZON_MS, DEFAULT_LOW_WATERMARK_MS);
    }

    /**
     * Returns the size of the next grant request.
     *
     * @param tokensPerSecond the current demand
     * @param missingTokens the tokens that waiting requests lack
     * @return the tokens to request
     */
    public long desiredTokens(double tokensPerSecond, long missingTokens) {
        return missingTokens + Math.max(initialTokens, tokensWithin(tokensPerSecond, horizonMs));
    }

    /**
     * Limits a grant to a share of the unallocated tokens. The routers share one half of them; the other half stays for
     * later grants.
     *
     * @param desiredTokens the requested tokens
     * @param minimumTokens the tokens that the next waiting request lacks; granted even above the share
     * @param unallocatedTokens the unallocated tokens of the budget
     * @param routers the number of routers that share the budget
     * @return the tokens to grant, below the minimum only if fewer are unallocated or requested
     */
    public long limitedTokens(long desiredTokens, long minimumTokens, long unallocatedTokens, int routers) {
        long shareTokens = unallocatedTokens / ((long) UNALLOCATED_SHARE_DIVISOR * Math.max(1, routers));
        long tokens = Math.min(desiredTokens, Math.max(minimumTokens, shareTokens));
        return Math.max(0, Math.min(tokens, unallocatedTokens));
    }

    /**
     * Tells whether the next grant should be requested before it is needed.
     *
     * @param availableTokens the available tokens
     * @param tokensPerSecond the current demand
     * @return true if the available tokens are below the low watermark
     */
    public boolean isLow(long availableTokens, double tokensPerSecond) {
        return availableTokens < tokensWithin(tokensPerSecond, lowWatermarkMs);
    }

    /**
     * Returns the tokens that can be lent without running out before the next grant.
     *
     * @param availableTokens the available tokens
     * @param tokensPerSecond the current demand
     * @return the tokens above the low watermark, at least 0
     */
    public long spareTokens(long availableTokens, double tokensPerSecond) {
        return Math.max(0, availableTokens - tokensWithin(tokensPerSecond, lowWatermarkMs));
    }

    /**
     * Returns the part of the available tokens that a holder may lend. It is limited, because a reclaim counts it as
     * spent.
     *
     * @param availableTokens the available tokens
     * @return the allowance
     */
    public long lendingAllowanceTokens(long availableTokens) {
        return availableTokens / LENDING_ALLOWANCE_DIVISOR;
    }

    /**
     * Returns the surplus to return to the budget: all available tokens after a long idle time, else the tokens that
     * far exceed the demand.
     *
     * @param availableTokens the available tokens
     * @param tokensPerSecond the current demand
     * @param idleMs the time since the last request for the budget arrived
     * @return the surplus, 0 if it is not worth a ledger write
     */
    public long surplusTokens(long availableTokens, double tokensPerSecond, long idleMs) {
        if (idleMs >= IDLE_RETURN_MS) {
            return availableTokens;
        }
        long keepTokens = SURPLUS_FACTOR * Math.max(initialTokens, tokensWithin(tokensPerSecond, horizonMs));
        return availableTokens > SURPLUS_FACTOR * keepTokens ? availableTokens - keepTokens : 0;
    }

    private static long tokensWithin(double tokensPerSecond, long timeMs) {
        return (long) (tokensPerSecond * timeMs / MS_PER_SECOND);
    }
}
