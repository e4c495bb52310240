package io.jayhead.standins.fault;

/**
 * Describes a fault that a test injects.
 *
 * @param kind the kind of fault
 * @param durationMs its duration in milliseconds, or 0 to last until it is cleared
 * @param delayMs the delay in milliseconds before each request is handled under {@code slow}, or before the exit under
 *     {@code die}
 * @param count the number of requests or events that it affects, or 0 for no limit
 * @param path the prefix of the request paths that it affects, or empty for all
 */
public record Fault(FaultKind kind, long durationMs, long delayMs, int count, String path) {

    /** Rejects negative numbers. */
    public Fault {
        if (durationMs < 0 || delayMs < 0 || count < 0) {
            throw new IllegalArgumentException("duration_ms, delay_ms and count must not be negative");
        }
    }

    /**
     * Creates a fault from the body of a request. A {@code drop_reply} without a count affects one request.
     *
     * @param body the body as sent
     * @return the fault
     * @throws IllegalArgumentException if the fault is unknown or a number is negative
     */
    public static Fault of(FaultBody body) {
        FaultKind kind = FaultKind.of(body.fault());
        boolean defaultsToOne = kind == FaultKind.DROP_REPLY && body.count() == 0;
        String path = body.path() == null ? "" : body.path();
        return new Fault(kind, body.durationMs(), body.delayMs(), defaultsToOne ? 1 : body.count(), path);
    }

    /**
     * Tells whether the fault affects a request path.
     *
     * @param requestPath the path of a request
     * @return whether the path starts with the prefix of the fault
     */
    public boolean affects(String requestPath) {
        return requestPath.startsWith(path);
    }
}
