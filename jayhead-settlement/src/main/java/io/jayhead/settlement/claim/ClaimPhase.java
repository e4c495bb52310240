package io.jayhead.settlement.claim;

/** Represents the phase of a booking, which determines the events that it waits for. */
sealed interface ClaimPhase {

    /** Waits for the answer to a create or a retake. */
    record Writing() implements ClaimPhase {}

    /**
     * Waits for the content of the claim object.
     *
     * @param conflict whether the platform answered that another write was first
     */
    record Reading(boolean conflict) implements ClaimPhase {}

    /**
     * Waits for the booking service; entered at most once.
     *
     * @param version the version of the claim object, expected when the outcome is stored
     */
    record Dispatched(long version) implements ClaimPhase {}

    /**
     * Waits until the outcome or the release is stored, before the caller is answered.
     *
     * @param answer the command that answers the caller
     * @param answerAtMs when the caller is answered even if nothing was stored, in milliseconds since the epoch
     */
    record Storing(ClaimCommand answer, long answerAtMs) implements ClaimPhase {}

    /** The caller was answered. */
    record Done() implements ClaimPhase {}
}
