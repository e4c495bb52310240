package io.jayhead.standins.fault;

/**
 * Describes an ordered fault.
 *
 * @param kind what goes wrong
 * @param durationMs how long it lasts, or 0 for until cleared
 * @param delayMs the delay of slow answers
 * @param count how many requests or events it affects, or 0 for no limit
 * @param path the prefix of the paths it affects, empty for all
 */
public record Fault(FaultKind kind, long durationMs, long delayMs, int count, String path) {

    /** Checks the numbers. */
    public Fault {
        if (durationMs < 0 || delayMs < 0 || count < 0) {
            throw new IllegalArgumentException("duration_ms, delay_ms and count must not be negative");
        }
    }

    /**
     * Creates a fault from its order.
     *
     * @param body the body as sent
     * @return the fault
     * @throws IllegalArgumentException if the order is not valid
     */
    public static Fault of(FaultBody body) {
        FaultKind kind = FaultKind.of(body.fault());
        boolean single = kind == FaultKind.DROP_REPLY && body.count() == 0;
        String path = body.path() == null ? "" : body.path();
        return new Fault(kind, body.durationMs(), body.delayMs(), single ? 1 : body.count(), path);
    }

    /**
     * Tells whether the fault affects a path.
     *
     * @param requestPath the path of a request
     * @return whether the path has the prefix
     */
    public boolean affects(String requestPath) {
        return requestPath.startsWith(path);
    }
}
