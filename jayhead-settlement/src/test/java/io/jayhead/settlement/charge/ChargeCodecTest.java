package io.jayhead.settlement.charge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotBlank;
import net.jqwik.api.constraints.Size;

class ChargeCodecTest {

    /** Guards against names with tabs, line breaks or percent signs that break the line format. */
    @Property(tries = 300)
    void aBatchAndACheckpointSurviveTheirText(
            @ForAll @NotBlank String nonce,
            @ForAll @NotBlank String name,
            @ForAll @Size(min = 1, max = 5) List<String> services) {
        List<ChargeEntry> entries = services.stream()
                .distinct()
                .map(service -> new ChargeEntry(
                        new RequestKey(RequestKey.sha256(service)),
                        BudgetId.of(name, "\t%0A" + name),
                        IncarnationId.of(name + "\n"),
                        Long.MAX_VALUE / 100,
                        0,
                        service))
                .toList();
        ChargeBatch batch = new ChargeBatch(nonce, 7, entries);
        String text = ChargeBatchCodec.encode(batch);
        assertEquals(batch, ChargeBatchCodec.decode(text));
        String cut = text.substring(0, text.lastIndexOf('\n', text.length() - 2) + 1);
        assertThrows(IllegalArgumentException.class, () -> ChargeBatchCodec.decode(cut));

        ChargeLedger ledger = ChargeLedger.empty(60).plus(batch);
        ChargeCheckpoint read =
                ChargeCheckpointCodec.decode(ChargeCheckpointCodec.encode(new ChargeCheckpoint(ledger, 5)));
        assertEquals(ledger.totals(), read.ledger().totals());
        assertEquals(ledger.window(), read.ledger().window());
        assertEquals(5, read.deletedBelow());
    }
}
