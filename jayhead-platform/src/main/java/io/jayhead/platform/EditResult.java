package io.jayhead.platform;

/**
 * Gives the outcome of an edit by {@link ObjectEditor}.
 *
 * @param <R> the type of refusals of the edit function
 */
public sealed interface EditResult<R> {

    /**
     * The edited body was written.
     *
     * @param version the new version
     * @param body the body written
     */
    record Edited<R>(long version, String body) implements EditResult<R> {}

    /**
     * The edit function refused.
     *
     * @param refusal the refusal
     */
    record Refused<R>(R refusal) implements EditResult<R> {}

    /**
     * The last allowed attempt conflicted with another writer; nothing was written.
     *
     * @param attempts the number of attempts
     */
    record Contended<R>(int attempts) implements EditResult<R> {}

    /**
     * The object could not be read, or its write was refused or not sent; nothing was written.
     *
     * @param reason the cause, for logs
     */
    record Unavailable<R>(String reason) implements EditResult<R> {}

    /**
     * The last write may have taken effect.
     *
     * @param body the body that was sent
     * @param reason the cause, for logs
     */
    record Unknown<R>(String body, String reason) implements EditResult<R> {}
}
