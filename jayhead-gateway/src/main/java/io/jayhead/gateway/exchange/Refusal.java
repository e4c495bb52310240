package io.jayhead.gateway.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The reasons for which the router itself refuses or fails a request, with the status of the answer. */
public enum Refusal {
    /** The request cannot be read. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST, 0),
    /** The head of the request did not arrive in time. */
    HEAD_TIMED_OUT(HttpResponseStatus.REQUEST_TIMEOUT, 0),
    /** No route matches the host and path. */
    NO_ROUTE(HttpResponseStatus.NOT_FOUND, 0),
    /** The API key is missing or unknown. */
    UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, 0),
    /** The prepaid budget cannot cover the request. */
    BUDGET_EXHAUSTED(HttpResponseStatus.PAYMENT_REQUIRED, 0),
    /**
     * The ledger of the budget cannot be reached, so the request is not started; the retry delay depends on how long
     * the outage has lasted.
     */
    BUDGET_UNAVAILABLE(HttpResponseStatus.SERVICE_UNAVAILABLE, 0),
    /** The router has not yet read the configuration. */
    NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE, 500),
    /** The router is being stopped. */
    STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, 50),
    /** No upstream can take the request. */
    NO_UPSTREAM(HttpResponseStatus.SERVICE_UNAVAILABLE, 400),
    /** No upstream is in a region in which route and organisation allow the request to be processed. */
    NO_ALLOWED_REGION(HttpResponseStatus.SERVICE_UNAVAILABLE, 2_000),
    /** The upstreams that are left warm up, and have got what they take from this router for now. */
    WARMING_UP(HttpResponseStatus.SERVICE_UNAVAILABLE, 1_000),
    /** The upstreams that are left want no requests for a while, as they have said. */
    UPSTREAMS_PAUSED(HttpResponseStatus.SERVICE_UNAVAILABLE, 0),
    /** The upstreams that were tried are too busy to accept the request. */
    OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE, 700),
    /**
     * More requests are in flight than the service answers in time; the retry delay depends on how long this has
     * lasted.
     */
    OVER_LIMIT(HttpResponseStatus.SERVICE_UNAVAILABLE, 0),
    /** Connections hold all the memory that they may hold together. */
    MEMORY_EXHAUSTED(HttpResponseStatus.SERVICE_UNAVAILABLE, 1_000),
    /** Upstreams ended under a part of the prompt. */
    PROMPT_BLOCKED(HttpResponseStatus.SERVICE_UNAVAILABLE, 60_000),
    /** The request was sent to an upstream and its outcome is unknown. */
    OUTCOME_UNKNOWN(HttpResponseStatus.BAD_GATEWAY, 0),
    /** The caller's deadline or the time limit of the route passed after the request was sent. */
    TIMED_OUT(HttpResponseStatus.GATEWAY_TIMEOUT, 0);

    private final HttpResponseStatus status;
    private final int retryAfterMs;

    Refusal(HttpResponseStatus status, int retryAfterMs) {
        this.status = status;
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Returns the status of the answer; 408 and 503 are used only for requests that have not run and will not run.
     *
     * @return the status
     */
    public HttpResponseStatus status() {
        return status;
    }

    /**
     * Returns the delay after which the caller should retry.
     *
     * @return the mean delay in milliseconds, before jitter; 0 if the answer names no fixed delay
     */
    public int retryAfterMs() {
        return retryAfterMs;
    }
}
