package io.jayhead.admission.queue;

/** Names the reasons for which a request cannot wait. */
public enum QueueRefusal {
    /** The organisation has too many waiting requests. */
    ORGANISATION_FULL,
    /** Too many requests are waiting in all. */
    QUEUE_FULL,
    /** The estimated wait exceeds the time that the request may wait. */
    DEADLINE_CANNOT_BE_MET
}
