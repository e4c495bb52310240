package io.jayhead.settlement.claim;

import io.jayhead.model.NotRunProof;
import java.util.Optional;

/**
 * Represents an input of the state machine of a booking: the result of a platform or booking call, or the passage of
 * time.
 */
public sealed interface ClaimEvent {

    /**
     * The claim was created, or a released claim was retaken.
     *
     * @param version the version of the claim object
     */
    record ClaimCreated(long version) implements ClaimEvent {}

    /**
     * The create or the retake of the claim failed, because another write was first; it may be an earlier, unanswered
     * write of the same attempt.
     */
    record ClaimConflict() implements ClaimEvent {}

    /** The reply to the create or the retake was lost, so the write may have taken effect. */
    record ClaimWriteUnanswered() implements ClaimEvent {}

    /**
     * The claim object was read.
     *
     * @param nowMs the current time in milliseconds since the epoch
     * @param claim the record, or empty if the object does not exist
     * @param version the version of the object; 0 if it does not exist
     */
    record ClaimRead(long nowMs, Optional<ClaimRecord> claim, long version) implements ClaimEvent {}

    /** A call to the platform had no effect or no answer, because the platform is down. */
    record PlatformDown() implements ClaimEvent {}

    /** The booking service answered. */
    record CallFinished(long nowMs, int status, String body) implements ClaimEvent {}

    /** The booking certainly did not run. */
    record CallNotRun(long nowMs, NotRunProof proof) implements ClaimEvent {}

    /** The outcome of the call to the booking service is unknown; the booking may have run. */
    record CallOutcomeUnknown() implements ClaimEvent {}

    /** The outcome or the release of the claim was stored in the platform. */
    record OutcomeStored() implements ClaimEvent {}

    /** The outcome or the release of the claim was not stored, or may not have been stored. */
    record OutcomeStoreFailed() implements ClaimEvent {}

    /** Time passed; ends the wait for the outcome to be stored if it is over. */
    record Tick(long nowMs) implements ClaimEvent {}
}
