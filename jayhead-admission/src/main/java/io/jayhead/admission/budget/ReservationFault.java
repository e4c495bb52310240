package io.jayhead.admission.budget;

/** Lists the reasons for which a reservation cannot be reduced or settled. */
public enum ReservationFault {
    /** The reservation does not exist. */
    UNKNOWN_RESERVATION,
    /** The amount is negative or exceeds the reservation. */
    EXCEEDS_RESERVATION
}
