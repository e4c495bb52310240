package io.jayhead.daemon.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import io.jayhead.settlement.charge.ChargeAccount;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeCheckpoint;
import io.jayhead.settlement.charge.ChargeCheckpointCodec;
import io.jayhead.settlement.charge.ChargeLedger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.IntStream;

/**
 * Sums the billed tokens in the charge log: reads the checkpoint of each partition and the slots after it. The sums are
 * cached, so that a later call costs two reads per partition and one for each new slot.
 */
public final class ChargeLogReader {

    private static final long WINDOW_MINUTES = 60;

    private final ObjectStore store;
    private final ChargeLayout layout;
    private final ConcurrentMap<Integer, ChargeLedger> cachedLedgers = new ConcurrentHashMap<>();

    /**
     * Creates a reader.
     *
     * @param store reads objects of the platform
     * @param layout gives the number of partitions
     */
    public ChargeLogReader(ObjectStore store, ChargeLayout layout) {
        this.store = store;
        this.layout = layout;
    }

    /**
     * Sums the charged tokens by budget and router incarnation.
     *
     * @return the tokens; empty if a partition cannot be read or the number of partitions is unknown
     */
    public CompletableFuture<Optional<Map<ChargeAccount, Long>>> totals() {
        List<CompletableFuture<Optional<ChargeLedger>>> ledgers = IntStream.range(0, layout.partitions())
                .mapToObj(this::readPartition)
                .toList();
        return CompletableFuture.allOf(ledgers.toArray(CompletableFuture[]::new))
                .thenApply(allRead ->
                        sum(ledgers.stream().map(CompletableFuture::join).toList()));
    }

    /**
     * Sums the charged tokens of a budget over all routers.
     *
     * @param budget the budget
     * @return the tokens; empty if a partition cannot be read or the number of partitions is unknown
     */
    public CompletableFuture<Optional<Long>> billedTokens(BudgetId budget) {
        return totals().thenApply(totals -> totals.map(accounts -> accounts.entrySet().stream()
                .filter(account -> account.getKey().budget().equals(budget))
                .mapToLong(Map.Entry::getValue)
                .sum()));
    }

    private static Optional<Map<ChargeAccount, Long>> sum(List<Optional<ChargeLedger>> ledgers) {
        if (ledgers.isEmpty() || ledgers.stream().anyMatch(Optional::isEmpty)) {
            return Optional.empty();
        }
        Map<ChargeAccount, Long> sums = new HashMap<>();
        ledgers.forEach(ledger ->
                ledger.orElseThrow().totals().forEach((account, tokens) -> sums.merge(account, tokens, Long::sum)));
        return Optional.of(sums);
    }

    private CompletableFuture<Optional<ChargeLedger>> readPartition(int partition) {
        return store.read(PartitionWriter.CHECKPOINT_KIND, Integer.toString(partition))
                .thenCompose(result -> {
                    if (result instanceof ReadResult.Unavailable) {
                        return CompletableFuture.completedFuture(Optional.empty());
                    }
                    ChargeLedger ledger = result.body()
                            .map(ChargeCheckpointCodec::decode)
                            .map(ChargeCheckpoint::ledger)
                            .orElseGet(() -> ChargeLedger.empty(WINDOW_MINUTES));
                    ChargeLedger cachedLedger = cachedLedgers.getOrDefault(partition, ledger);
                    return readSlots(partition, cachedLedger.nextSlot() > ledger.nextSlot() ? cachedLedger : ledger);
                });
    }

    private CompletableFuture<Optional<ChargeLedger>> readSlots(int partition, ChargeLedger ledger) {
        return store.read(PartitionWriter.LOG_KIND, partition + "." + ledger.nextSlot())
                .thenCompose(result -> {
                    if (result instanceof ReadResult.Found found) {
                        return readSlots(
                                partition,
                                ledger.plus(
                                        ChargeBatchCodec.decode(found.object().body())));
                    }
                    cachedLedgers.put(partition, ledger);
                    return CompletableFuture.completedFuture(
                            result instanceof ReadResult.Missing ? Optional.of(ledger) : Optional.empty());
                });
    }
}
