package io.jayhead.scenarios.language;

/** Describes the expected outcome of a request or a configuration change. */
public sealed interface Outcome {

    /** The complete answer arrived. That of a generation also has the expected text and usage. */
    record Whole() implements Outcome {}

    /** The answer is incomplete, and the caller can see that, but it does not state that the request was not run. */
    record Broken() implements Outcome {}

    /**
     * The request was refused with the verdict {@code not_run} and an error code.
     *
     * @param code the error code
     */
    record Refused(String code) implements Outcome {}

    /**
     * The answer states a verdict.
     *
     * @param verdict the label of the verdict, as callers receive it
     */
    record HasVerdict(String verdict) implements Outcome {}

    /**
     * The configuration change was accepted.
     *
     * @param version the version that the change created
     */
    record Accepted(long version) implements Outcome {}

    /**
     * The configuration change was refused because another change was accepted first.
     *
     * @param version the version of the accepted change, as the refusal states it
     */
    record Conflict(long version) implements Outcome {}
}
