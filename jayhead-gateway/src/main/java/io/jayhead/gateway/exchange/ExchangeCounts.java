package io.jayhead.gateway.exchange;

/**
 * The totals of a finished exchange.
 *
 * @param tries the number of attempts
 * @param mayHaveRun the number of attempts that may have run at an upstream
 * @param events the number of events delivered to the caller
 * @param consumedTokens the tokens that are billed
 */
record ExchangeCounts(int tries, int mayHaveRun, int events, long consumedTokens) {}
