package io.jayhead.admission.queue;

/**
 * Holds a request that was taken from a queue, with the remaining queue.
 *
 * @param request the request
 * @param queue the queue without the request
 */
public record Dequeued(QueuedRequest request, FairQueue queue) {}
