package io.jayhead.standins.fault;

/** Holds a fault in force, the time at which it ends and how often it still applies. */
record ActiveFault(Fault fault, long untilMs, int remaining) {

    static ActiveFault of(Fault fault, long nowMs) {
        long untilMs = fault.durationMs() == 0 ? Long.MAX_VALUE : nowMs + fault.durationMs();
        int remaining = fault.count() == 0 ? Integer.MAX_VALUE : fault.count();
        return new ActiveFault(fault, untilMs, remaining);
    }

    boolean isOver(long nowMs) {
        return nowMs >= untilMs || remaining == 0;
    }

    boolean matches(FaultKind kind, String path) {
        return fault.kind() == kind && fault.affects(path);
    }

    ActiveFault used() {
        return remaining == Integer.MAX_VALUE ? this : new ActiveFault(fault, untilMs, remaining - 1);
    }
}
