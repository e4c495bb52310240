package io.jayhead.gateway.exchange;

/**
 * What an exchange amounted to.
 *
 * @param tries the attempts
 * @param mayHaveRun the attempts that may have run
 * @param events the events that were delivered
 * @param consumedTokens the tokens that are billed
 */
record ExchangeCounts(int tries, int mayHaveRun, int events, long consumedTokens) {}
