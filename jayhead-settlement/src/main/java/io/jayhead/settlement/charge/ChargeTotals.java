package io.jayhead.settlement.charge;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums the charged tokens by account; immutable.
 *
 * <p>Most sums are in a map that later values share, and the last changed ones in a small map that each change copies.
 * Copying all sums for each slot would take tens of milliseconds at 100,000 accounts.
 */
final class ChargeTotals {

    /** At 20 charges a slot, all sums are copied about once in 50 slots. */
    private static final int RECENT_MAX = 1_024;

    private final Map<ChargeAccount, Long> settled;
    private final Map<ChargeAccount, Long> recent;

    private ChargeTotals(Map<ChargeAccount, Long> settled, Map<ChargeAccount, Long> recent) {
        this.settled = settled;
        this.recent = recent;
    }

    static ChargeTotals of(Map<ChargeAccount, Long> totals) {
        return new ChargeTotals(new HashMap<>(totals), Map.of());
    }

    ChargeTotals plus(List<CommittedCharge> charges) {
        Map<ChargeAccount, Long> next = new HashMap<>(recent);
        for (CommittedCharge charge : charges) {
            ChargeAccount account = charge.entry().account();
            long before = next.getOrDefault(account, settled.getOrDefault(account, 0L));
            next.put(account, Math.addExact(before, charge.entry().tokens()));
        }
        ChargeTotals sums = new ChargeTotals(settled, next);
        return next.size() <= RECENT_MAX ? sums : new ChargeTotals(sums.merged(), Map.of());
    }

    Map<ChargeAccount, Long> toMap() {
        return recent.isEmpty() ? Collections.unmodifiableMap(settled) : Collections.unmodifiableMap(merged());
    }

    private Map<ChargeAccount, Long> merged() {
        Map<ChargeAccount, Long> all = new HashMap<>(settled);
        all.putAll(recent);
        return all;
    }
}
