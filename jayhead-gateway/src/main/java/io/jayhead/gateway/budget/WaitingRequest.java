package io.jayhead.gateway.budget;

import java.util.function.Consumer;

/**
 * A request that waits for tokens.
 *
 * @param tokens the tokens that it needs
 * @param rank its urgency; 0 is the most urgent
 * @param sinceNs the {@link System#nanoTime()} at which it began to wait
 * @param untilNs the {@link System#nanoTime()} from which it is refused
 * @param callback receives the result of the reservation
 */
record WaitingRequest(long tokens, int rank, long sinceNs, long untilNs, Consumer<ReservationResult> callback) {}
