package io.jayhead.model;

import java.util.Set;

/**
 * The HTTP statuses that callers take for a promise that their request has not run and never will, so that they send it
 * again (RFC 9110, sections 15.5.9, 15.5.20 and 15.6.4; RFC 6585, section 4).
 *
 * <p>An answer with such a status proves nothing by itself: it may come from an upstream that has run the request.
 */
public final class NotRunStatus {

    private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

    private NotRunStatus() {}

    /**
     * Tells whether a status says that a request has not run.
     *
     * @param httpStatus the HTTP status
     * @return true for 408, 421, 429 and 503
     */
    public static boolean matches(int httpStatus) {
        return STATUSES.contains(httpStatus);
    }
}
