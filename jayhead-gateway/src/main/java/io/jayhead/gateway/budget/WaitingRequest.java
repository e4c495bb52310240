package io.jayhead.gateway.budget;

import java.util.function.Consumer;

/**
 * A request that waits for tokens.
 *
 * @param tokens the tokens that it needs
 * @param rank how urgent it is; 0 is the most urgent
 * @param sinceNs when it began to wait
 * @param untilNs when it is refused
 * @param callback receives the result
 */
record WaitingRequest(long tokens, int rank, long sinceNs, long untilNs, Consumer<ReservationResult> callback) {}
