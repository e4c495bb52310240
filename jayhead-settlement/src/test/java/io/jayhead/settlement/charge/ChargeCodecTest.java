package io.jayhead.settlement.charge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import java.util.List;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotBlank;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a batch or checkpoint that is read back with other content than was written.
 *
 * <p>Fields are separated by tabs and lines by line feeds, so a name that contains such a character and is not escaped
 * shifts the fields. A text without its last lines must be rejected instead of being read as a shorter batch.
 */
class ChargeCodecTest {

    /** Guards against tabs, line breaks or percent signs in names that break the line format. */
    @Property(tries = 300)
    void aBatchAndACheckpointSurviveTheirText(
            @ForAll @NotBlank String nonce,
            @ForAll @NotBlank String name,
            @ForAll @Size(min = 1, max = 5) List<String> services) {
        // The generator takes a space outside ASCII, such as U+3000, for a text that is not blank.
        Assume.that(!nonce.isBlank() && !name.isBlank());
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
        String truncated = text.substring(0, text.lastIndexOf('\n', text.length() - 2) + 1);
        assertThrows(IllegalArgumentException.class, () -> ChargeBatchCodec.decode(truncated));

        ChargeLedger ledger = ChargeLedger.empty(60).plus(batch);
        ChargeCheckpoint decoded =
                ChargeCheckpointCodec.decode(ChargeCheckpointCodec.encode(new ChargeCheckpoint(ledger, 5)));
        assertEquals(ledger.totals(), decoded.ledger().totals());
        assertEquals(ledger.window(), decoded.ledger().window());
        assertEquals(5, decoded.deletedBelow());
    }
}
