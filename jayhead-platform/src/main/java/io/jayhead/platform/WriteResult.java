package io.jayhead.platform;

/** Gives the outcome of a conditional create, update or delete. */
public sealed interface WriteResult
        permits WriteResult.Written, WriteResult.Conflict, WriteResult.NotWritten, WriteResult.Unknown {

    /**
     * The write took effect.
     *
     * @param version the new version; 0 after a delete
     */
    record Written(long version) implements WriteResult {}

    /** The condition did not hold, so the write had no effect. */
    record Conflict() implements WriteResult {}

    /**
     * The write certainly had no effect, for a reason other than its condition.
     *
     * @param reason the cause, for logs
     * @param retryable false if the same write can never succeed, such as a body over the size limit
     * @param retryAfterMs the pause that the platform asked for; 0 if it named none
     */
    record NotWritten(String reason, boolean retryable, long retryAfterMs) implements WriteResult {}

    /**
     * The request was sent and no usable answer came; the write may have taken effect or still may.
     *
     * @param reason the cause, for logs
     */
    record Unknown(String reason) implements WriteResult {}
}
