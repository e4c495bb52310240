package io.jayhead.settlement.charge;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums the charged tokens by account; immutable.
 *
 * <p>Most sums are in a base map that successive instances share; the sums changed last are in a small map that is
 * copied for each slot. Copying all sums for each slot would take tens of milliseconds at 100,000 accounts.
 */
final class ChargeTotals {

    /** Bounds the copy made for each slot. At 20 charges a slot, all sums are copied about once in 50 slots. */
    private static final int MAX_RECENT_ACCOUNTS = 1_024;

    private final Map<ChargeAccount, Long> base;
    private final Map<ChargeAccount, Long> recent;

    private ChargeTotals(Map<ChargeAccount, Long> base, Map<ChargeAccount, Long> recent) {
        this.base = base;
        this.recent = recent;
    }

    static ChargeTotals of(Map<ChargeAccount, Long> totals) {
        return new ChargeTotals(new HashMap<>(totals), Map.of());
    }

    ChargeTotals plus(List<CommittedCharge> charges) {
        Map<ChargeAccount, Long> next = new HashMap<>(recent);
        for (CommittedCharge charge : charges) {
            ChargeAccount account = charge.entry().account();
            long previous = next.getOrDefault(account, base.getOrDefault(account, 0L));
            next.put(account, Math.addExact(previous, charge.entry().tokens()));
        }
        ChargeTotals updated = new ChargeTotals(base, next);
        return next.size() <= MAX_RECENT_ACCOUNTS ? updated : new ChargeTotals(updated.merged(), Map.of());
    }

    Map<ChargeAccount, Long> toMap() {
        return recent.isEmpty() ? Collections.unmodifiableMap(base) : Collections.unmodifiableMap(merged());
    }

    private Map<ChargeAccount, Long> merged() {
        Map<ChargeAccount, Long> all = new HashMap<>(base);
        all.putAll(recent);
        return all;
    }
}
