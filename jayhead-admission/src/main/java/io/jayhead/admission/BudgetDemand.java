package io.jayhead.admission;

import io.jayhead.admission.budget.RateEstimate;

/**
 * Holds the demand for one budget at this router and the state of its token requests.
 *
 * @param rate the rate at which arriving requests demand tokens
 * @param requestState whom the router has asked for tokens
 * @param requestedTokens the tokens of the last token request
 * @param requestedAtMs the time of the last token request
 * @param retryAtMs the earliest time of the next grant request
 * @param backoffMs the backoff after the next failed token request
 * @param platformAnswer the last answer of the platform to a grant request
 * @param unallocatedTokens the unallocated tokens at the last refusal by the platform, 0 if it did not refuse last
 */
public record BudgetDemand(
        RateEstimate rate,
        TokenRequestState requestState,
        long requestedTokens,
        long requestedAtMs,
        long retryAtMs,
        long backoffMs,
        PlatformAnswer platformAnswer,
        long unallocatedTokens) {

    /**
     * Retries soon, because a refund, or tokens that another router returns, often become available within a second.
     */
    public static final long FIRST_BACKOFF_MS = 200;

    /** Limits the ledger calls for an exhausted budget; also the longest time until a top-up is noticed. */
    public static final long LAST_BACKOFF_MS = 5_000;

    /**
     * Returns the demand for a budget that no request has used.
     *
     * @param nowMs the time
     * @return the demand
     */
    public static BudgetDemand empty(long nowMs) {
        return new BudgetDemand(
                RateEstimate.zero(nowMs),
                TokenRequestState.IDLE,
                0,
                nowMs,
                nowMs,
                FIRST_BACKOFF_MS,
                PlatformAnswer.GRANTED,
                0);
    }

    boolean mayRequestTokens(long nowMs) {
        return requestState == TokenRequestState.IDLE && nowMs >= retryAtMs;
    }

    boolean isTokenRequestOverdue(long nowMs, long timeoutMs) {
        return requestState != TokenRequestState.IDLE && nowMs - requestedAtMs >= timeoutMs;
    }

    BudgetDemand withObservedDemand(long tokens, long nowMs) {
        return new BudgetDemand(
                rate.observe(tokens, nowMs),
                requestState,
                requestedTokens,
                requestedAtMs,
                retryAtMs,
                backoffMs,
                platformAnswer,
                unallocatedTokens);
    }

    BudgetDemand withTokenRequest(TokenRequestState next, long tokens, long nowMs) {
        return new BudgetDemand(rate, next, tokens, nowMs, retryAtMs, backoffMs, platformAnswer, unallocatedTokens);
    }

    BudgetDemand withAnswer(PlatformAnswer answer, long newUnallocatedTokens) {
        return new BudgetDemand(
                rate,
                TokenRequestState.IDLE,
                requestedTokens,
                requestedAtMs,
                retryAtMs,
                backoffMs,
                answer,
                newUnallocatedTokens);
    }

    BudgetDemand withoutTokenRequest() {
        return new BudgetDemand(
                rate,
                TokenRequestState.IDLE,
                requestedTokens,
                requestedAtMs,
                retryAtMs,
                backoffMs,
                platformAnswer,
                unallocatedTokens);
    }

    /**
     * Delays the next grant request after a grant that was smaller than requested, because the next grant would be
     * smaller still.
     */
    BudgetDemand withGrant(long tokens, long nowMs) {
        TokenRequestState next = requestState == TokenRequestState.PLATFORM ? TokenRequestState.IDLE : requestState;
        long nextRetryAtMs = tokens < requestedTokens ? nowMs + FIRST_BACKOFF_MS : nowMs;
        return new BudgetDemand(
                rate, next, requestedTokens, requestedAtMs, nextRetryAtMs, FIRST_BACKOFF_MS, PlatformAnswer.GRANTED, 0);
    }

    BudgetDemand withBackoff(long nowMs) {
        long next = Math.min(LAST_BACKOFF_MS, backoffMs * 2);
        return new BudgetDemand(
                rate,
                TokenRequestState.IDLE,
                requestedTokens,
                requestedAtMs,
                nowMs + backoffMs,
                next,
                platformAnswer,
                unallocatedTokens);
    }
}
