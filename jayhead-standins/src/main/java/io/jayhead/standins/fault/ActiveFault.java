package io.jayhead.standins.fault;

/** Holds an active fault with its expiry time and the number of times that it still applies. */
record ActiveFault(Fault fault, long untilMs, int remainingUses) {

    static ActiveFault of(Fault fault, long nowMs) {
        long untilMs = fault.durationMs() == 0 ? Long.MAX_VALUE : nowMs + fault.durationMs();
        int remainingUses = fault.count() == 0 ? Integer.MAX_VALUE : fault.count();
        return new ActiveFault(fault, untilMs, remainingUses);
    }

    boolean isExpired(long nowMs) {
        return nowMs >= untilMs || remainingUses == 0;
    }

    boolean matches(FaultKind kind, String path) {
        return fault.kind() == kind && fault.affects(path);
    }

    ActiveFault afterUse() {
        return remainingUses == Integer.MAX_VALUE ? this : new ActiveFault(fault, untilMs, remainingUses - 1);
    }
}
