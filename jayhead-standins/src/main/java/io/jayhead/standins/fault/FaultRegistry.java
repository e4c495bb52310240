package io.jayhead.standins.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Holds the active faults of one stand-in. Not thread-safe: only the control thread of the stand-in uses it. */
public final class FaultRegistry {

    private final LongSupplier nanoClock;
    private final List<ActiveFault> activeFaults = new ArrayList<>();

    /**
     * Creates a registry without active faults.
     *
     * @param nanoClock a monotonic clock in nanoseconds
     */
    public FaultRegistry(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /**
     * Activates a fault, or ends all active faults if the kind is {@code CLEAR}.
     *
     * @param fault the injected fault
     */
    public void add(Fault fault) {
        if (fault.kind() == FaultKind.CLEAR) {
            activeFaults.clear();
            return;
        }
        activeFaults.add(ActiveFault.of(fault, nowMs()));
    }

    /**
     * Tells whether a fault is active for a path.
     *
     * @param kind the kind of fault
     * @param path the path of the request; empty matches only faults that affect all paths
     * @return whether such a fault affects the path now
     */
    public boolean isActive(FaultKind kind, String path) {
        removeExpired();
        return activeFaults.stream().anyMatch(fault -> fault.matches(kind, path));
    }

    /**
     * Tells whether responses are frozen.
     *
     * @param path the path of the request, or empty for the whole process
     * @return whether no response may be sent now
     */
    public boolean isFrozen(String path) {
        return isActive(FaultKind.FREEZE, path);
    }

    /**
     * Returns the delay of a request.
     *
     * @param path the path of the request
     * @return the largest active delay in milliseconds, or 0 if none applies
     */
    public long delayMs(String path) {
        removeExpired();
        return activeFaults.stream()
                .filter(fault -> fault.matches(FaultKind.SLOW, path))
                .mapToLong(fault -> fault.fault().delayMs())
                .max()
                .orElse(0);
    }

    /**
     * Consumes one use of a {@code DROP_REPLY} fault, if one is active for the path.
     *
     * @param path the path of the request
     * @return whether the reply must be dropped
     */
    public boolean tryConsumeDropReply(String path) {
        return tryConsume(FaultKind.DROP_REPLY, path);
    }

    /**
     * Consumes one use of a fault, if one is active for the path. A fault without a limit has any number of uses.
     *
     * @param kind the kind of fault
     * @param path the path of the request, or empty for an event that belongs to no request
     * @return whether the fault applies
     */
    public boolean tryConsume(FaultKind kind, String path) {
        removeExpired();
        for (int i = 0; i < activeFaults.size(); i++) {
            if (activeFaults.get(i).matches(kind, path)) {
                activeFaults.set(i, activeFaults.get(i).afterUse());
                return true;
            }
        }
        return false;
    }

    private void removeExpired() {
        long nowMs = nowMs();
        activeFaults.removeIf(fault -> fault.isExpired(nowMs));
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong());
    }
}
