package io.jayhead.scenarios.language;

/** Describes how a request is expected to end. */
public sealed interface Outcome {

    /** The whole answer arrived and is the true one. */
    record Whole() implements Outcome {}

    /** The answer ended visibly incomplete. */
    record Broken() implements Outcome {}

    /**
     * The request was refused as not run.
     *
     * @param code the error code
     */
    record Refused(String code) implements Outcome {}

    /**
     * The answer has a verdict.
     *
     * @param verdict the verdict as callers see it
     */
    record HasVerdict(String verdict) implements Outcome {}

    /**
     * The configuration change was accepted.
     *
     * @param version the version it got
     */
    record Accepted(long version) implements Outcome {}

    /**
     * The configuration change lost against another one.
     *
     * @param version the version that won
     */
    record Conflict(long version) implements Outcome {}
}
