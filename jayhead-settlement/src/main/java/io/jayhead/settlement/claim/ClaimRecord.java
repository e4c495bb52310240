package io.jayhead.settlement.claim;

import io.jayhead.model.Checks;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.NotRunProof;
import java.util.Optional;

/**
 * Holds the content of a claim object.
 *
 * @param nonce identifies the attempt that holds the claim
 * @param incarnation the router incarnation that holds it
 * @param bodyDigest the digest of the booking's body
 * @param dispatchedAtMs when the claim was made, just before dispatch
 * @param status what is known of the booking
 * @param answer the answer, only in status RAN
 * @param proof why the booking did not run, only in status RELEASED
 */
public record ClaimRecord(
        String nonce,
        IncarnationId incarnation,
        String bodyDigest,
        long dispatchedAtMs,
        ClaimStatus status,
        Optional<StoredAnswer> answer,
        Optional<NotRunProof> proof) {

    /** Checks that answer and proof fit the status. */
    public ClaimRecord {
        Checks.requireNotBlank(nonce, "nonce");
        if (answer.isPresent() != (status == ClaimStatus.RAN)
                || proof.isPresent() != (status == ClaimStatus.RELEASED)) {
            throw new IllegalArgumentException("answer or proof does not fit status " + status);
        }
    }

    /**
     * Returns the record of a new claim.
     *
     * @param nonce identifies the attempt
     * @param incarnation the router incarnation
     * @param bodyDigest the digest of the booking's body
     * @param dispatchedAtMs the current time
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
