package io.jayhead.admission.queue;

/**
 * Holds a request taken from a queue.
 *
 * @param request the request
 * @param queue the queue without it
 */
public record Dequeued(QueuedRequest request, FairQueue queue) {}
