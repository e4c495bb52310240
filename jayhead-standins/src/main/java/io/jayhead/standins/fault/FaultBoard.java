package io.jayhead.standins.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Holds the faults in force. Used by the control thread of one stand-in only. */
public final class FaultBoard {

    private final LongSupplier nanoClock;
    private final List<ActiveFault> active = new ArrayList<>();

    /**
     * Creates a board without faults.
     *
     * @param nanoClock a monotonic clock in nanoseconds
     */
    public FaultBoard(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /**
     * Puts a fault in force, or ends all faults.
     *
     * @param fault the ordered fault
     */
    public void add(Fault fault) {
        if (fault.kind() == FaultKind.CLEAR) {
            active.clear();
            return;
        }
        active.add(ActiveFault.of(fault, nowMs()));
    }

    /**
     * Tells whether a fault is in force.
     *
     * @param kind the fault
     * @param path the path of the request
     * @return whether it affects the path now
     */
    public boolean isActive(FaultKind kind, String path) {
        dropEnded();
        return active.stream().anyMatch(fault -> fault.matches(kind, path));
    }

    /**
     * Tells whether answers are frozen.
     *
     * @param path the path of the request, or empty for the whole process
     * @return whether nothing may be answered now
     */
    public boolean isFrozen(String path) {
        return isActive(FaultKind.FREEZE, path);
    }

    /**
     * Returns the delay of a request.
     *
     * @param path the path of the request
     * @return the largest delay in force, or 0
     */
    public long delayMs(String path) {
        dropEnded();
        return active.stream()
                .filter(fault -> fault.matches(FaultKind.SLOW, path))
                .mapToLong(fault -> fault.fault().delayMs())
                .max()
                .orElse(0);
    }

    /**
     * Uses one dropped reply.
     *
     * @param path the path of the request
     * @return whether the reply must be dropped
     */
    public boolean takeDrop(String path) {
        return take(FaultKind.DROP_REPLY, path);
    }

    /**
     * Uses one application of a fault that affects a limited number of requests or events.
     *
     * @param kind the fault
     * @param path the path of the request, or empty
     * @return whether the fault applies
     */
    public boolean take(FaultKind kind, String path) {
        dropEnded();
        for (int i = 0; i < active.size(); i++) {
            if (active.get(i).matches(kind, path)) {
                active.set(i, active.get(i).used());
                return true;
            }
        }
        return false;
    }

    private void dropEnded() {
        long nowMs = nowMs();
        active.removeIf(fault -> fault.isOver(nowMs));
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong());
    }
}
