package io.jayhead.settlement.claim;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.Verdict;

/**
 * Represents a step that the state machine of a booking requests.
 *
 * <p>The claim object is the platform object that records which attempt holds the request key, and the outcome of the
 * booking.
 */
public sealed interface ClaimCommand {

    /** Creates the claim object unless it exists. */
    record CreateClaim(ClaimRecord claim) implements ClaimCommand {}

    /** Reads the claim object. */
    record ReadClaim() implements ClaimCommand {}

    /** Replaces a released claim if it still has the expected version. */
    record RetakeReleasedClaim(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Sends the booking to an upstream. */
    record Dispatch() implements ClaimCommand {}

    /** Answers the caller with the answer of the booking service to this request. */
    record AnswerFresh(int status, String body) implements ClaimCommand {}

    /** Answers the caller with the stored answer of an earlier request with the same key. */
    record AnswerStored(int status, String body) implements ClaimCommand {}

    /** Tells the caller that an earlier request with the same key is probably still running. */
    record AnswerInProgress() implements ClaimCommand {}

    /**
     * Tells the caller that an earlier request with the same key may have run, and at which path to read its status.
     */
    record AnswerMayHaveRun() implements ClaimCommand {}

    /** Stores that the booking did not run, if the claim still has the expected version. */
    record ReleaseClaim(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Stores the answer of the booking service, if the claim still has the expected version. */
    record StoreOutcome(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Answers the caller with an error and the verdict whether the request may have run. */
    record Refuse(ErrorCode code, Verdict verdict, String message) implements ClaimCommand {}
}
