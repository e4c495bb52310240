package io.jayhead.settlement.claim;

import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.NotRunProof;
import java.util.Optional;

/**
 * Holds the content of a claim object.
 *
 * @param nonce identifies the attempt that holds the claim
 * @param incarnation the router incarnation that holds the claim
 * @param bodyDigest the digest of the booking request body; a different digest means that the key was reused
 * @param dispatchedAtMs when the claim was made, just before dispatch, in milliseconds since the epoch
 * @param status the state of the booking
 * @param answer the answer of the booking service; present only in status RAN
 * @param proof why the booking certainly did not run; present only in status RELEASED
 */
public record ClaimRecord(
        String nonce,
        IncarnationId incarnation,
        String bodyDigest,
        long dispatchedAtMs,
        ClaimStatus status,
        Optional<StoredAnswer> answer,
        Optional<NotRunProof> proof) {

    /** Checks that the nonce is not blank and that answer and proof match the status. */
    public ClaimRecord {
        Checks.requireNotBlank(nonce, "nonce");
        if (answer.isPresent() != (status == ClaimStatus.RAN)
                || proof.isPresent() != (status == ClaimStatus.RELEASED)) {
            throw new IllegalArgumentException("answer or proof does not match status " + status);
        }
    }

    /**
     * Returns a new claim without an outcome.
     *
     * @param nonce identifies the attempt
     * @param incarnation the router incarnation
     * @param bodyDigest the digest of the booking request body
     * @param dispatchedAtMs the current time in milliseconds since the epoch
     * @return the record
     */
    public static ClaimRecord claimed(String nonce, IncarnationId incarnation, String bodyDigest, long dispatchedAtMs) {
        return new ClaimRecord(
                nonce,
                incarnation,
                bodyDigest,
                dispatchedAtMs,
                ClaimStatus.CLAIMED,
                Optional.empty(),
                Optional.empty());
    }

    ClaimRecord ran(StoredAnswer stored) {
        return new ClaimRecord(
                nonce, incarnation, bodyDigest, dispatchedAtMs, ClaimStatus.RAN, Optional.of(stored), Optional.empty());
    }

    ClaimRecord released(NotRunProof reason) {
        return new ClaimRecord(
                nonce,
                incarnation,
                bodyDigest,
                dispatchedAtMs,
                ClaimStatus.RELEASED,
                Optional.empty(),
                Optional.of(reason));
    }
}
