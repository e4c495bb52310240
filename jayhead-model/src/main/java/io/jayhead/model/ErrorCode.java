package io.jayhead.model;

import java.util.Locale;

/** Lists the error codes that callers and operators receive, with their HTTP status. */
public enum ErrorCode {
    /** The request is malformed. */
    INVALID_REQUEST(400),
    /** The service requires an idempotency key and the request has none. */
    IDEMPOTENCY_KEY_MISSING(400),
    /** The credential is missing or unknown. */
    UNAUTHENTICATED(401),
    /** The credential does not allow the operation. */
    FORBIDDEN(403),
    /** The service, budget or request does not exist. */
    NOT_FOUND(404),
    /** Another change was accepted first. */
    CONFLICT(409),
    /** The idempotency key was used with a different body. */
    KEY_REUSED(422),
    /** The fleet text or the settings are invalid. */
    INVALID_CONFIGURATION(422),
    /** The budget does not cover the maximum charge of the request. */
    BUDGET_EXHAUSTED(402),
    /** The queue is full, or the request would miss its deadline. */
    OVERLOADED(429),
    /** No upstream can serve the request now. */
    NO_UPSTREAM(503),
    /** A dependency of the service is not ready. */
    DEPENDENCY_NOT_READY(503),
    /** The router cannot confirm that its configuration is current. */
    CONFIGURATION_STALE(503),
    /** The router is shutting down. */
    SHUTTING_DOWN(503),
    /** The platform does not answer. */
    PLATFORM_UNAVAILABLE(503),
    /** The upstream refused the request. */
    UPSTREAM_REFUSED(503),
    /** The upstream failed after the request was sent. */
    UPSTREAM_FAILED(502),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504),
    /** An earlier request with the same key was sent and its outcome is unknown. */
    OUTCOME_UNKNOWN(409),
    /** An earlier request with the same key is still running. */
    IN_PROGRESS(409),
    /** The answer was broken off, because a repeated run did not reproduce the tokens that were already delivered. */
    STREAM_BROKEN(502),
    /** The router failed because of an internal error. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status of answers with this code.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the HTTP status of an answer with this code to a request that was admitted. A status that says that the
     * request has not run is replaced by 502 if it may have run.
     *
     * @param verdict whether the request ran
     * @return the status
     */
    public int httpStatus(Verdict verdict) {
        boolean untrue = NotRunStatus.matches(httpStatus) && !verdict.isNotRun();
        return untrue ? UPSTREAM_FAILED.httpStatus : httpStatus;
    }

    /**
     * Returns the name that callers and operators receive.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
