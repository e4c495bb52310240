package io.jayhead.settlement.charge;

import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.codec.TextFields;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Converts batches to and from the text of a slot object.
 *
 * <p>The first line is {@code charges-1 <nonce> <committed minute> <number of entries>}. Each further line is one
 * entry: {@code <request key> <organisation> <budget> <incarnation> <prompt tokens> <output tokens> <service>}.
 * Fields are separated by tabs; in a field, percent sign, tab, line feed and carriage return are written as
 * {@code %25}, {@code %09}, {@code %0A} and {@code %0D}. Lines end with a line feed.
 */
public final class ChargeBatchCodec {

    private static final String FORMAT = "charges-1";
    private static final int HEADER_FIELDS = 4;
    private static final int ENTRY_FIELDS = 7;

    private ChargeBatchCodec() {}

    /**
     * Encodes a batch.
     *
     * @param batch the batch
     * @return the text of the slot object
     */
    public static String encode(ChargeBatch batch) {
        String header = TextFields.join(
                FORMAT, batch.nonce(), batch.committedMinute(), batch.entries().size());
        return Stream.concat(Stream.of(header), batch.entries().stream().map(ChargeBatchCodec::encodeEntry))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /**
     * Decodes a batch.
     *
     * @param text the text of a slot object
     * @return the batch
     * @throws IllegalArgumentException if the text has a different format or the number of entries is not that of the
     *     header
     */
    public static ChargeBatch decode(String text) {
        List<String> lines = List.of(text.split("\n"));
        List<String> header = TextFields.split(lines.get(0), HEADER_FIELDS);
        if (!FORMAT.equals(header.get(0))) {
            throw new IllegalArgumentException("unknown format of a charge batch: " + header.get(0));
        }
        List<ChargeEntry> entries =
                lines.stream().skip(1).map(ChargeBatchCodec::decodeEntry).toList();
        if (entries.size() != Integer.parseInt(header.get(3))) {
            throw new IllegalArgumentException(
                    "charge batch is incomplete: entries found " + entries.size() + ", expected " + header.get(3));
        }
        return new ChargeBatch(header.get(1), Long.parseLong(header.get(2)), entries);
    }

    /**
     * Encodes an entry.
     *
     * @param entry the entry
     * @return the line without a line feed
     */
    public static String encodeEntry(ChargeEntry entry) {
        return TextFields.join(
                entry.key(),
                entry.budget().organisation(),
                entry.budget().budget(),
                entry.incarnation(),
                entry.promptTokens(),
                entry.outputTokens(),
                entry.service());
    }

    /**
     * Decodes an entry.
     *
     * @param line the line without a line feed
     * @return the entry
     * @throws IllegalArgumentException if the line is not a valid entry
     */
    public static ChargeEntry decodeEntry(String line) {
        List<String> fields = TextFields.split(line, ENTRY_FIELDS);
        return new ChargeEntry(
                new RequestKey(fields.get(0)),
                BudgetId.of(fields.get(1), fields.get(2)),
                IncarnationId.of(fields.get(3)),
                Long.parseLong(fields.get(4)),
                Long.parseLong(fields.get(5)),
                fields.get(6));
    }
}
