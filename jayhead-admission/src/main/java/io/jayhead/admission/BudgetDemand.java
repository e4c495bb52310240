package io.jayhead.admission;

import io.jayhead.admission.budget.RateEstimate;

/**
 * Holds the demand for one budget at this router and the state of asking for tokens.
 *
 * @param rate the rate of reservations
 * @param ask whom the router has asked
 * @param askedTokens the tokens of the last ask
 * @param askedAtMs the time of the last ask
 * @param retryAtMs the earliest time of the next ask
 * @param backoffMs the delay after the next refusal
 * @param platform the last answer of the platform
 * @param unallocatedTokens the unallocated tokens when the platform refused
 */
public record BudgetDemand(
        RateEstimate rate,
        AskState ask,
        long askedTokens,
        long askedAtMs,
        long retryAtMs,
        long backoffMs,
        PlatformAnswer platform,
        long unallocatedTokens) {

    /** A refund or another router's return often comes within a second. */
    public static final long FIRST_BACKOFF_MS = 200;

    /** Limits the calls for an exhausted budget; a top-up is noticed after this time at the latest. */
    public static final long LAST_BACKOFF_MS = 5_000;

    /**
     * Returns the demand for a budget that was not used before.
     *
     * @param nowMs the time
     * @return the demand
     */
    public static BudgetDemand empty(long nowMs) {
        return new BudgetDemand(
                RateEstimate.zero(nowMs), AskState.IDLE, 0, nowMs, nowMs, FIRST_BACKOFF_MS, PlatformAnswer.GRANTED, 0);
    }

    boolean mayAsk(long nowMs) {
        return ask == AskState.IDLE && nowMs >= retryAtMs;
    }

    boolean isAskOverdue(long nowMs, long timeoutMs) {
        return ask != AskState.IDLE && nowMs - askedAtMs >= timeoutMs;
    }

    BudgetDemand observed(long tokens, long nowMs) {
        return new BudgetDemand(
                rate.observe(tokens, nowMs),
                ask,
                askedTokens,
                askedAtMs,
                retryAtMs,
                backoffMs,
                platform,
                unallocatedTokens);
    }

    BudgetDemand asking(AskState next, long tokens, long nowMs) {
        return new BudgetDemand(rate, next, tokens, nowMs, retryAtMs, backoffMs, platform, unallocatedTokens);
    }

    BudgetDemand answered(PlatformAnswer answer, long unallocated) {
        return new BudgetDemand(rate, AskState.IDLE, askedTokens, askedAtMs, retryAtMs, backoffMs, answer, unallocated);
    }

    BudgetDemand idle() {
        return new BudgetDemand(
                rate, AskState.IDLE, askedTokens, askedAtMs, retryAtMs, backoffMs, platform, unallocatedTokens);
    }

    /** A grant that was limited is not followed by the next ask at once, which would get less again. */
    BudgetDemand granted(long tokens, long nowMs) {
        AskState next = ask == AskState.PLATFORM ? AskState.IDLE : ask;
        long retryMs = tokens < askedTokens ? nowMs + FIRST_BACKOFF_MS : nowMs;
        return new BudgetDemand(
                rate, next, askedTokens, askedAtMs, retryMs, FIRST_BACKOFF_MS, PlatformAnswer.GRANTED, 0);
    }

    BudgetDemand backedOff(long nowMs) {
        long next = Math.min(LAST_BACKOFF_MS, backoffMs * 2);
        return new BudgetDemand(
                rate, AskState.IDLE, askedTokens, askedAtMs, nowMs + backoffMs, next, platform, unallocatedTokens);
    }
}
