package io.jayhead.bench.cases;

import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.charge.ChargeBatch;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeCheckpoint;
import io.jayhead.settlement.charge.ChargeCheckpointCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import io.jayhead.settlement.charge.ChargeLedger;
import io.jayhead.settlement.charge.ChargeLog;
import io.jayhead.settlement.charge.ChargeLogEvent;
import io.jayhead.settlement.charge.ChargeLogSettings;
import io.jayhead.settlement.charge.ChargeLogState;
import io.jayhead.settlement.charge.EventStamp;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures one partition of the charge log: its events, its retained memory and its encoded objects. */
final class ChargeCases {

    private static final Series WINDOW = Series.of("keys in the window", 1_000, 10_000, 100_000);
    private static final Series ACCOUNTS = Series.of("budget and incarnation pairs", 100, 1_000, 10_000, 100_000);
    private static final Series BATCH = Series.of("charges in a batch", 1, 20, 100, 512);

    private static final int WINDOW_MINUTES = 60;
    private static final long MS_PER_MINUTE = 60_000;
    private static final int BATCH_CHARGES = 20;
    private static final int FEW_ACCOUNTS = 100;

    private ChargeCases() {}

    static List<BenchCase> of() {
        return Stream.of(
                        WINDOW.timed("charges: append", size -> append(state(size, FEW_ACCOUNTS))),
                        WINDOW.timed("charges: commit of 20", size -> commit(state(size, FEW_ACCOUNTS))),
                        WINDOW.timed("charges: tick", size -> tick(state(size, FEW_ACCOUNTS))),
                        WINDOW.retained("charges: state", size -> state(size, FEW_ACCOUNTS)),
                        WINDOW.timed(
                                "charges: checkpoint encoded", size -> encodeCheckpoint(ledger(size, FEW_ACCOUNTS))),
                        WINDOW.encoded("charges: checkpoint", size -> checkpointBytes(ledger(size, FEW_ACCOUNTS))),
                        ACCOUNTS.timed("charges: commit of 20", size -> commit(state(size, size))),
                        ACCOUNTS.retained("charges: state, as many keys", size -> state(size, size)),
                        BATCH.timed("charges: batch encoded and decoded", ChargeCases::encodeAndDecode),
                        BATCH.encoded("charges: batch", size -> encodedBytes(batch(0, size, size, 0))))
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation append(ChargeLogState state) {
        ChargeEntry entry = entry(Integer.MAX_VALUE, FEW_ACCOUNTS);
        ChargeLogEvent event = new ChargeLogEvent.Append(stamp(), "1", entry);
        return () -> ChargeLog.handle(state, event);
    }

    private static Operation tick(ChargeLogState state) {
        ChargeLogEvent event = new ChargeLogEvent.Tick(stamp());
        return () -> ChargeLog.handle(state, event);
    }

    private static Operation commit(ChargeLogState state) {
        ChargeLogState queued = state;
        for (int index = 0; index < BATCH_CHARGES; index++) {
            ChargeEntry entry = entry(Integer.MAX_VALUE - index, FEW_ACCOUNTS);
            queued = ChargeLog.handle(queued, new ChargeLogEvent.Append(stamp(), "" + index, entry))
                    .state();
        }
        long laterMs = stamp().nowMs() + 10;
        ChargeLogState writing = ChargeLog.handle(queued, new ChargeLogEvent.Tick(new EventStamp(laterMs, "nonce")))
                .state();
        ChargeLogEvent written =
                new ChargeLogEvent.SlotWritten(stamp(), writing.ledger().nextSlot());
        return () -> ChargeLog.handle(writing, written);
    }

    private static Operation encodeCheckpoint(ChargeLedger ledger) {
        return () -> ChargeCheckpointCodec.encode(new ChargeCheckpoint(ledger, 0));
    }

    private static int checkpointBytes(ChargeLedger ledger) {
        return ChargeCheckpointCodec.encode(new ChargeCheckpoint(ledger, 0)).getBytes(StandardCharsets.UTF_8).length;
    }

    private static Operation encodeAndDecode(int charges) {
        ChargeBatch batch = batch(0, charges, charges, 0);
        return () -> ChargeBatchCodec.decode(ChargeBatchCodec.encode(batch));
    }

    private static int encodedBytes(ChargeBatch batch) {
        return ChargeBatchCodec.encode(batch).getBytes(StandardCharsets.UTF_8).length;
    }

    private static ChargeLogState state(int keys, int accounts) {
        ChargeLogState loading =
                ChargeLog.start(ChargeLogSettings.standard(), stamp().nowMs()).state();
        ChargeLedger ledger = ledger(keys, accounts);
        ChargeCheckpoint checkpoint = new ChargeCheckpoint(ledger, 0);
        ChargeLogState loaded = ChargeLog.handle(
                        loading, new ChargeLogEvent.CheckpointRead(stamp(), Optional.of(checkpoint)))
                .state();
        return ChargeLog.handle(loaded, new ChargeLogEvent.SlotAbsent(stamp(), ledger.nextSlot()))
                .state();
    }

    private static ChargeLedger ledger(int keys, int accounts) {
        ChargeLedger ledger = ChargeLedger.empty(WINDOW_MINUTES);
        int keysPerMinute = Math.max(1, keys / WINDOW_MINUTES);
        for (int minute = 0; minute < WINDOW_MINUTES; minute++) {
            ledger = ledger.plus(batch(minute * keysPerMinute, keysPerMinute, accounts, minute));
        }
        return ledger;
    }

    private static ChargeBatch batch(int first, int count, int accounts, long minute) {
        List<ChargeEntry> entries = new ArrayList<>();
        IntStream.range(first, first + count).forEach(index -> entries.add(entry(index, accounts)));
        return new ChargeBatch("nonce", minute, entries);
    }

    private static ChargeEntry entry(int index, int accounts) {
        return new ChargeEntry(
                new RequestKey(RequestKey.sha256("request-" + index)),
                BudgetId.of("organisation-" + index % accounts, "main"),
                IncarnationId.of("00000000-0000-0000-0000-000000000001"),
                700,
                300,
                "service-1");
    }

    private static EventStamp stamp() {
        return new EventStamp((WINDOW_MINUTES - 1) * MS_PER_MINUTE, "nonce");
    }
}
