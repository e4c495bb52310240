package io.jayhead.admission.queue;

/** Lists the reasons for which a queue refuses a request. */
public enum QueueRefusal {
    /** The queue holds the maximum number of requests of the organisation. */
    ORGANISATION_FULL,
    /** The queue holds the maximum number of requests of all organisations. */
    QUEUE_FULL,
    /** The estimated wait exceeds the time until the request expires. */
    DEADLINE_CANNOT_BE_MET
}
