package io.jayhead.daemon.charge;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds charges that other routers could not write yet, for example because the platform is down. Confined to the
 * control thread.
 */
final class HeldCharges {

    /** A sender that is still running writes its charges itself within this time after an outage. */
    private static final long SENDER_GRACE_MS = 5_000;

    private final Map<RequestKey, HeldCharge> charges = new HashMap<>();

    private record HeldCharge(ChargeEntry entry, long sinceMs) {}

    void hold(ChargeEntry entry, long nowMs) {
        charges.putIfAbsent(entry.key(), new HeldCharge(entry, nowMs));
    }

    void release(Collection<RequestKey> keys) {
        keys.forEach(charges::remove);
    }

    /** Returns the charges that this router should write now, and restarts their waiting time. */
    List<ChargeEntry> due(long nowMs) {
        List<ChargeEntry> dueCharges = charges.values().stream()
                .filter(held -> nowMs - held.sinceMs() >= SENDER_GRACE_MS)
                .map(HeldCharge::entry)
                .toList();
        dueCharges.forEach(entry -> charges.put(entry.key(), new HeldCharge(entry, nowMs)));
        return dueCharges;
    }

    List<ChargeEntry> sentBy(IncarnationId incarnation) {
        return charges.values().stream()
                .map(HeldCharge::entry)
                .filter(entry -> entry.incarnation().equals(incarnation))
                .toList();
    }

    int size() {
        return charges.size();
    }
}
