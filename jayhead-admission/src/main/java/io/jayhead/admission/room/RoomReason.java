package io.jayhead.admission.room;

/** The reasons of a {@link RoomVerdict}. */
public enum RoomReason {
    /** The requests in flight are below the limit for the rank. */
    BELOW_LIMIT,
    /** The upstreams report that most of their places are free. */
    ROOM_REPORTED,
    /** Room is not expected before the wait of the request ends. */
    WAIT_TOO_LONG,
    /** Room is not expected early enough for an answer before the deadline. */
    DEADLINE_CANNOT_BE_MET,
    /** All waiting places are taken by requests that go first. */
    PLACES_TAKEN,
    /** The request has waited for as long as it may. */
    EXPIRED
}
