package io.jayhead.settlement.claim;

import io.jayhead.model.ErrorCode;
import io.jayhead.model.Verdict;

/** Orders a step for a booking. */
public sealed interface ClaimCommand {

    /** Creates the claim object if there is none. */
    record CreateClaim(ClaimRecord claim) implements ClaimCommand {}

    /** Reads the claim object. */
    record ReadClaim() implements ClaimCommand {}

    /** Replaces a released claim if it still has the expected version. */
    record RetakeReleasedClaim(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Sends the booking to an upstream. */
    record Dispatch() implements ClaimCommand {}

    /** Answers the caller with the answer of the call just made. */
    record AnswerFresh(int status, String body) implements ClaimCommand {}

    /** Answers the caller with the stored answer of an earlier request with the same key. */
    record AnswerStored(int status, String body) implements ClaimCommand {}

    /** Tells the caller that an earlier request with the same key is probably still running. */
    record AnswerInProgress() implements ClaimCommand {}

    /** Tells the caller that an earlier request with the same key may have run, and where to read its status. */
    record AnswerMayHaveRun() implements ClaimCommand {}

    /** Records that the booking did not run, if the claim still has the expected version. */
    record ReleaseClaim(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Records the answer, if the claim still has the expected version. */
    record StoreOutcome(long expectedVersion, ClaimRecord claim) implements ClaimCommand {}

    /** Refuses the request. */
    record Refuse(ErrorCode code, Verdict verdict, String message) implements ClaimCommand {}
}
