package io.jayhead.settlement.charge;

import io.jayhead.model.RequestKey;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the first charge of each recent key, in buckets by active minute of the log; immutable.
 *
 * <p>Adding a slot copies only the bucket of its minute, which keeps the cost proportional to one minute of charges.
 */
final class ChargeWindow {

    private final TreeMap<Long, Map<RequestKey, CommittedCharge>> byMinute;

    private ChargeWindow(TreeMap<Long, Map<RequestKey, CommittedCharge>> byMinute) {
        this.byMinute = byMinute;
    }

    static ChargeWindow empty() {
        return new ChargeWindow(new TreeMap<>());
    }

    Optional<CommittedCharge> find(RequestKey key) {
        for (Map<RequestKey, CommittedCharge> bucket : byMinute.descendingMap().values()) {
            CommittedCharge charge = bucket.get(key);
            if (charge != null) {
                return Optional.of(charge);
            }
        }
        return Optional.empty();
    }

    ChargeWindow plus(long minute, List<CommittedCharge> charges) {
        Map<RequestKey, CommittedCharge> bucket = new HashMap<>(byMinute.getOrDefault(minute, Map.of()));
        charges.forEach(charge -> bucket.put(charge.entry().key(), charge));
        TreeMap<Long, Map<RequestKey, CommittedCharge>> next = new TreeMap<>(byMinute);
        next.put(minute, bucket);
        return new ChargeWindow(next);
    }

    ChargeWindow since(long minute) {
        return byMinute.isEmpty() || byMinute.firstKey() >= minute
                ? this
                : new ChargeWindow(new TreeMap<>(byMinute.tailMap(minute)));
    }

    Map<Long, Map<RequestKey, CommittedCharge>> buckets() {
        return Collections.unmodifiableMap(byMinute);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ChargeWindow window && byMinute.equals(window.byMinute);
    }

    @Override
    public int hashCode() {
        return byMinute.hashCode();
    }
}
