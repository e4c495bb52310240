package io.jayhead.gateway.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The answers that the router itself gives. */
public enum Refusal {
    /** The request cannot be read. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST, 0),
    /** No route leads to the host and path. */
    NO_ROUTE(HttpResponseStatus.NOT_FOUND, 0),
    /** The key is missing or unknown. */
    UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, 0),
    /** The prepaid budget cannot cover the request. */
    BUDGET_EXHAUSTED(HttpResponseStatus.PAYMENT_REQUIRED, 0),
    /** The ledger of the budget cannot be reached, so the request is not started; the return depends on the outage. */
    BUDGET_UNAVAILABLE(HttpResponseStatus.SERVICE_UNAVAILABLE, 0),
    /** The router has not yet read the configuration. */
    NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE, 500),
    /** The router is being stopped. */
    STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, 50),
    /** No upstream can take the request. */
    NO_UPSTREAM(HttpResponseStatus.SERVICE_UNAVAILABLE, 400),
    /** Upstreams are too busy to answer in time. */
    OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE, 700),
    /** The request was sent and its outcome is unknown. */
    OUTCOME_UNKNOWN(HttpResponseStatus.BAD_GATEWAY, 0),
    /** The time limit of the route passed after the request was sent. */
    TIMED_OUT(HttpResponseStatus.GATEWAY_TIMEOUT, 0);

    private final HttpResponseStatus status;
    private final int retryAfterMs;

    Refusal(HttpResponseStatus status, int retryAfterMs) {
        this.status = status;
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Returns the status; 503 is used only for requests that have not run and will not run.
     *
     * @return the status
     */
    public HttpResponseStatus status() {
        return status;
    }

    /**
     * Returns when the caller should come back.
     *
     * @return the mean delay in milliseconds; 0 if no delay is told
     */
    public int retryAfterMs() {
        return retryAfterMs;
    }
}
