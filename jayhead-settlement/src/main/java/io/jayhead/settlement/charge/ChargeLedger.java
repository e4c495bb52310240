package io.jayhead.settlement.charge;

import io.jayhead.model.RequestKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Aggregates all slots of a partition below a position: the charged totals and the recent charges; immutable.
 *
 * <p>A ledger depends only on the content of the slots, so all readers agree on the first charge for a key. The first
 * charge for a key counts; later charges for it within the duplicate window do not. A duplicate of a charge that has
 * left the window is not detected and counts again, so the window must exceed the longest time between two submissions
 * of a charge.
 *
 * <p>The window is measured in active minutes: a longer gap between two slots counts as one minute. Otherwise the
 * first slot after an outage would empty the window just before peers submit the charges that they hold, and charges
 * committed before the outage would count again.
 */
public final class ChargeLedger {

    private final long nextSlot;
    private final long latestMinute;
    private final long activeMinute;
    private final long windowMinutes;
    private final ChargeTotals totals;
    private final ChargeWindow window;

    ChargeLedger(
            long nextSlot,
            long latestMinute,
            long activeMinute,
            long windowMinutes,
            ChargeTotals totals,
            ChargeWindow window) {
        this.nextSlot = nextSlot;
        this.latestMinute = latestMinute;
        this.activeMinute = activeMinute;
        this.windowMinutes = windowMinutes;
        this.totals = totals;
        this.window = window;
    }

    /**
     * Returns the ledger of an empty log.
     *
     * @param windowMinutes how long keys are kept to detect duplicates, in active minutes
     * @return the ledger
     */
    public static ChargeLedger empty(long windowMinutes) {
        return new ChargeLedger(0, 0, 0, windowMinutes, ChargeTotals.of(Map.of()), ChargeWindow.empty());
    }

    /**
     * Returns the first slot that this ledger does not contain.
     *
     * @return the slot number
     */
    public long nextSlot() {
        return nextSlot;
    }

    /**
     * Returns the latest commit minute of all slots contained.
     *
     * @return minutes since the epoch; 0 for an empty log
     */
    public long latestMinute() {
        return latestMinute;
    }

    /**
     * Returns the charged tokens by budget and incarnation.
     *
     * @return the sums over all slots contained
     */
    public Map<ChargeAccount, Long> totals() {
        return totals.toMap();
    }

    /**
     * Finds the first charge for a key within the duplicate window.
     *
     * @param key the request key
     * @return the charge, or empty if there is none in the window
     */
    public Optional<CommittedCharge> find(RequestKey key) {
        return window.find(key);
    }

    /**
     * Returns the ledger with the next slot added.
     *
     * @param batch the content of the slot {@code nextSlot}
     * @return the ledger that also contains this slot
     */
    public ChargeLedger plus(ChargeBatch batch) {
        long minute = Math.max(latestMinute, batch.committedMinute());
        long nextActiveMinute = activeMinute + Math.min(minute - latestMinute, 1);
        List<CommittedCharge> firstCharges = new ArrayList<>();
        Set<RequestKey> keysInBatch = new HashSet<>();
        for (ChargeEntry entry : batch.entries()) {
            if (keysInBatch.add(entry.key()) && find(entry.key()).isEmpty()) {
                firstCharges.add(new CommittedCharge(entry, nextSlot));
            }
        }
        ChargeWindow nextWindow = window.plus(nextActiveMinute, firstCharges).since(nextActiveMinute - windowMinutes);
        return new ChargeLedger(
                nextSlot + 1, minute, nextActiveMinute, windowMinutes, totals.plus(firstCharges), nextWindow);
    }

    ChargeWindow window() {
        return window;
    }

    long activeMinute() {
        return activeMinute;
    }

    long windowMinutes() {
        return windowMinutes;
    }
}
