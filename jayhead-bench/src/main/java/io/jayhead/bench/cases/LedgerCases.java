package io.jayhead.bench.cases;

import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Operation;
import io.jayhead.daemon.budget.LedgerCodec;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

/** Measures the ledger of a budget, which is stored as one platform object. */
final class LedgerCases {

    private static final Series ENTRIES = Series.of("open entries", 7, 30, 100, 330);
    private static final Series TOP_UPS = Series.of("top-ups", 1, 100, 1_000, 10_000);
    private static final int FEW_ENTRIES = 7;
    private static final int FEW_TOP_UPS = 1;
    private static final long TOP_UP_TOKENS = 1_000_000_000;
    private static final long GRANT_TOKENS = 2_000;

    private LedgerCases() {}

    static List<BenchCase> of() {
        return Stream.of(
                        ENTRIES.timed("ledger: grant and report", size -> grant(ledger(size, FEW_TOP_UPS))),
                        ENTRIES.timed(
                                "ledger: decode, grant and encode",
                                size -> decodeGrantAndEncode(ledger(size, FEW_TOP_UPS))),
                        ENTRIES.encoded("ledger: object", size -> encodedBytes(ledger(size, FEW_TOP_UPS))),
                        TOP_UPS.timed("ledger: grant and report", size -> grant(ledger(FEW_ENTRIES, size))),
                        TOP_UPS.timed(
                                "ledger: decode, grant and encode",
                                size -> decodeGrantAndEncode(ledger(FEW_ENTRIES, size))),
                        TOP_UPS.encoded("ledger: object", size -> encodedBytes(ledger(FEW_ENTRIES, size))))
                .flatMap(cases -> cases)
                .toList();
    }

    private static Operation grant(BudgetLedger ledger) {
        return () -> granted(ledger);
    }

    private static Operation decodeGrantAndEncode(BudgetLedger ledger) {
        String body = LedgerCodec.encode(ledger);
        return () -> LedgerCodec.encode(granted(LedgerCodec.decode(body)));
    }

    private static int encodedBytes(BudgetLedger ledger) {
        return LedgerCodec.encode(ledger).getBytes(StandardCharsets.UTF_8).length;
    }

    private static BudgetLedger granted(BudgetLedger ledger) {
        return ledger.grant(incarnation(0), GRANT_TOKENS)
                .flatMap(granted -> granted.report(incarnation(0), GRANT_TOKENS, 0, 0))
                .get();
    }

    private static BudgetLedger ledger(int entries, int topUps) {
        BudgetLedger ledger = BudgetLedger.empty(BudgetId.of("organisation-1", "main"));
        for (int index = 0; index < topUps; index++) {
            ledger = ledger.topUp("top-up-2026-12-04-" + index, TOP_UP_TOKENS).get();
        }
        for (int index = 0; index < entries; index++) {
            ledger = ledger.open(incarnation(index)).get();
            ledger = ledger.grant(incarnation(index), GRANT_TOKENS).get();
        }
        return ledger;
    }

    private static IncarnationId incarnation(int index) {
        return IncarnationId.of(String.format("00000000-0000-0000-0000-%012d", index));
    }
}
