package io.jayhead.settlement.claim;

import io.jayhead.model.NotRunProof;
import java.util.Optional;

/** Reports something to the state machine of a booking. */
public sealed interface ClaimEvent {

    /**
     * The create or the retake took effect.
     *
     * @param version the version of the claim object
     */
    record ClaimCreated(long version) implements ClaimEvent {}

    /** The create or the retake lost against another writer. */
    record ClaimConflict() implements ClaimEvent {}

    /** The reply to the create or the retake was lost. */
    record ClaimUnknown() implements ClaimEvent {}

    /**
     * The claim object was read.
     *
     * @param nowMs the current time
     * @param claim the record, or empty if there is none
     * @param version the version of the object; 0 if there is none
     */
    record ClaimRead(long nowMs, Optional<ClaimRecord> claim, long version) implements ClaimEvent {}

    /** A call to the platform had no effect or no answer, because the platform is down. */
    record PlatformDown() implements ClaimEvent {}

    /** The booking service answered. */
    record CallFinished(long nowMs, int status, String body) implements ClaimEvent {}

    /** The booking certainly did not run. */
    record CallNotRun(long nowMs, NotRunProof proof) implements ClaimEvent {}

    /** The outcome of the call is unknown. */
    record CallUnknown() implements ClaimEvent {}

    /** The outcome or the release is in the platform. */
    record OutcomeStored() implements ClaimEvent {}

    /** The outcome or the release could not be stored, or it is unknown whether it was. */
    record OutcomeStoreFailed() implements ClaimEvent {}

    /** Time passed. */
    record Tick(long nowMs) implements ClaimEvent {}
}
