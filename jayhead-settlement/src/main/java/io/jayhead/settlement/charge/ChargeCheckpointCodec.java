package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.settlement.codec.TextFields;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts checkpoints to and from the text of the checkpoint object.
 *
 * <p>The first line holds the format name, the next slot, the latest minute, the active minute, the window in minutes
 * and the slot below which slots were deleted. Further lines start with their type:
 * {@code total <organisation> <budget> <incarnation> <tokens>} and {@code key <active minute> <slot> <entry>}. The
 * last line is {@code end}. Fields are separated and escaped as in {@link ChargeBatchCodec}; the entry is one
 * escaped field.
 */
public final class ChargeCheckpointCodec {

    private static final String FORMAT = "checkpoint-1";
    private static final String END = "end";

    private ChargeCheckpointCodec() {}

    /**
     * Encodes a checkpoint.
     *
     * @param checkpoint the checkpoint
     * @return the text of the checkpoint object
     */
    public static String encode(ChargeCheckpoint checkpoint) {
        ChargeLedger ledger = checkpoint.ledger();
        List<String> lines = new ArrayList<>();
        lines.add(TextFields.join(
                FORMAT,
                ledger.nextSlot(),
                ledger.latestMinute(),
                ledger.activeMinute(),
                ledger.windowMinutes(),
                checkpoint.deletedBelow()));
        ledger.totals()
                .forEach((account, tokens) -> lines.add(TextFields.join(
                        "total",
                        account.budget().organisation(),
                        account.budget().budget(),
                        account.incarnation(),
                        tokens)));
        ledger.window()
                .buckets()
                .forEach((minute, bucket) -> bucket.values()
                        .forEach(charge -> lines.add(TextFields.join(
                                "key", minute, charge.slot(), ChargeBatchCodec.encodeEntry(charge.entry())))));
        lines.add(END);
        return String.join("\n", lines) + "\n";
    }

    /**
     * Decodes a checkpoint.
     *
     * @param text the text of a checkpoint object
     * @return the checkpoint
     * @throws IllegalArgumentException if the text has a different format or is truncated
     */
    public static ChargeCheckpoint decode(String text) {
        List<String> lines = List.of(text.split("\n"));
        List<String> header = TextFields.split(lines.get(0), 6);
        if (!FORMAT.equals(header.get(0)) || !END.equals(lines.get(lines.size() - 1))) {
            throw new IllegalArgumentException("not a complete checkpoint: " + lines.get(0));
        }
        Map<ChargeAccount, Long> totals = new HashMap<>();
        Map<Long, List<CommittedCharge>> charges = new HashMap<>();
        for (String line : lines.subList(1, lines.size() - 1)) {
            decodeLine(line, totals, charges);
        }
        ChargeWindow window = ChargeWindow.empty();
        for (Map.Entry<Long, List<CommittedCharge>> minute : charges.entrySet()) {
            window = window.plus(minute.getKey(), minute.getValue());
        }
        return new ChargeCheckpoint(
                new ChargeLedger(
                        number(header, 1),
                        number(header, 2),
                        number(header, 3),
                        number(header, 4),
                        ChargeTotals.of(totals),
                        window),
                number(header, 5));
    }

    private static void decodeLine(
            String line, Map<ChargeAccount, Long> totals, Map<Long, List<CommittedCharge>> charges) {
        if (line.startsWith("total\t")) {
            List<String> fields = TextFields.split(line, 5);
            BudgetId budget = BudgetId.of(fields.get(1), fields.get(2));
            totals.put(new ChargeAccount(budget, IncarnationId.of(fields.get(3))), number(fields, 4));
        } else {
            List<String> fields = TextFields.split(line, 4);
            ChargeEntry entry = ChargeBatchCodec.decodeEntry(fields.get(3));
            charges.computeIfAbsent(number(fields, 1), minute -> new ArrayList<>())
                    .add(new CommittedCharge(entry, number(fields, 2)));
        }
    }

    private static long number(List<String> fields, int index) {
        return Long.parseLong(fields.get(index));
    }
}
