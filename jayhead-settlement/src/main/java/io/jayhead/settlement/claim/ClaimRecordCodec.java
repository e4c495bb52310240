package io.jayhead.settlement.claim;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.NotRunProof;
import io.jayhead.settlement.codec.TextFields;
import java.util.List;
import java.util.Optional;

/**
 * Converts claim records to and from the text of a claim object.
 *
 * <p>The text is one line: {@code claim-1 <nonce> <incarnation> <body digest> <dispatched at ms> <status>
 * <proof or empty> <HTTP status or empty> <1 if a body is stored> <body>}, with the separators and escapes of
 * {@link TextFields}.
 */
public final class ClaimRecordCodec {

    private static final String FORMAT = "claim-1";
    private static final int FIELDS = 10;

    private ClaimRecordCodec() {}

    /**
     * Encodes a claim record.
     *
     * @param claim the record
     * @return the text of the claim object
     */
    public static String encode(ClaimRecord claim) {
        Optional<String> body = claim.answer().flatMap(StoredAnswer::body);
        return TextFields.join(
                FORMAT,
                claim.nonce(),
                claim.incarnation(),
                claim.bodyDigest(),
                claim.dispatchedAtMs(),
                claim.status(),
                claim.proof().map(NotRunProof::name).orElse(""),
                claim.answer().map(answer -> Integer.toString(answer.status())).orElse(""),
                body.isPresent() ? "1" : "0",
                body.orElse(""));
    }

    /**
     * Decodes a claim record.
     *
     * @param text the text of a claim object
     * @return the record
     * @throws IllegalArgumentException if the text has a different format
     */
    public static ClaimRecord decode(String text) {
        List<String> fields = TextFields.split(text, FIELDS);
        if (!FORMAT.equals(fields.get(0))) {
            throw new IllegalArgumentException("unknown format of a claim: " + fields.get(0));
        }
        Optional<String> body = fields.get(8).equals("1") ? Optional.of(fields.get(9)) : Optional.empty();
        return new ClaimRecord(
                fields.get(1),
                IncarnationId.of(fields.get(2)),
                fields.get(3),
                Long.parseLong(fields.get(4)),
                ClaimStatus.valueOf(fields.get(5)),
                nonEmpty(fields.get(7)).map(status -> new StoredAnswer(Integer.parseInt(status), body)),
                nonEmpty(fields.get(6)).map(NotRunProof::valueOf));
    }

    private static Optional<String> nonEmpty(String field) {
        return Optional.of(field).filter(value -> !value.isEmpty());
    }
}
