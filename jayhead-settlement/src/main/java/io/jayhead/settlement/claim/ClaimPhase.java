package io.jayhead.settlement.claim;

/** Says what a booking waits for. */
sealed interface ClaimPhase {

    /** Waits for the answer to a create or a retake. */
    record Writing() implements ClaimPhase {}

    /**
     * Waits for the claim object.
     *
     * @param conflict whether the platform answered that another writer won
     */
    record Reading(boolean conflict) implements ClaimPhase {}

    /**
     * Waits for the booking service; entered at most once.
     *
     * @param version the version of the claim object
     */
    record Dispatched(long version) implements ClaimPhase {}

    /**
     * Waits for the outcome or the release to be stored, before the caller is answered.
     *
     * @param answer answers the caller
     * @param answerAtMs when the caller is answered at the latest
     */
    record Storing(ClaimCommand answer, long answerAtMs) implements ClaimPhase {}

    /** The caller was answered. */
    record Done() implements ClaimPhase {}
}
