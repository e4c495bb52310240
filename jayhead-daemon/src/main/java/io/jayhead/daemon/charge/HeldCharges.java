package io.jayhead.daemon.charge;

import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps charges of other routers that could not write them; belongs to the control thread. */
final class HeldCharges {

    /** The sender writes its charges itself within this time after an outage, if it lives. */
    private static final long SENDER_FIRST_MS = 5_000;

    private final Map<RequestKey, Held> charges = new HashMap<>();

    private record Held(ChargeEntry entry, long sinceMs) {}

    void hold(ChargeEntry entry, long nowMs) {
        charges.putIfAbsent(entry.key(), new Held(entry, nowMs));
    }

    void release(Collection<RequestKey> keys) {
        keys.forEach(charges::remove);
    }

    /** Returns the charges to write here, and starts their time anew. */
    List<ChargeEntry> due(long nowMs) {
        List<ChargeEntry> due = charges.values().stream()
                .filter(held -> nowMs - held.sinceMs() >= SENDER_FIRST_MS)
                .map(Held::entry)
                .toList();
        due.forEach(entry -> charges.put(entry.key(), new Held(entry, nowMs)));
        return due;
    }

    List<ChargeEntry> of(IncarnationId holder) {
        return charges.values().stream()
                .map(Held::entry)
                .filter(entry -> entry.incarnation().equals(holder))
                .toList();
    }

    int size() {
        return charges.size();
    }
}
