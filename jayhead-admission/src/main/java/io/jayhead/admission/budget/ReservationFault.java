package io.jayhead.admission.budget;

/** Names the reasons for which a reservation cannot be changed. */
public enum ReservationFault {
    /** There is no such reservation. */
    UNKNOWN_RESERVATION,
    /** The amount is negative or above the reservation. */
    EXCEEDS_RESERVATION
}
