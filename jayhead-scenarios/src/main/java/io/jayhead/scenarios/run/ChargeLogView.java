package io.jayhead.scenarios.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.model.RequestKey;
import io.jayhead.scenarios.client.HttpReply;
import io.jayhead.scenarios.client.HttpSender;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * Holds the first charge of each request key, read from the platform without the daemon's reader of the charge log.
 * Only the codec of charge batches is shared.
 *
 * @param firstCharges the charges by partition and request key, so that a key charged in two partitions counts twice
 */
record ChargeLogView(Map<String, ChargeEntry> firstCharges) {

    private static final int PAGE_ITEMS = 500;
    private static final String SLOT_NAME_PATTERN = "\\d+\\.\\d+";

    static ChargeLogView read(String platform) {
        Map<Slot, String> slots =
                new TreeMap<>(Comparator.comparingInt(Slot::partition).thenComparingLong(Slot::number));
        String after = "";
        while (true) {
            HttpReply reply = HttpSender.send(
                    "GET", platform + "/v1/objects/charge-log?limit=" + PAGE_ITEMS + "&after=" + after, Map.of(), "");
            if (!reply.isSuccess()) {
                throw new IllegalStateException("cannot read the charge log: " + reply);
            }
            List<JsonNode> items = StreamSupport.stream(
                            reply.json().path("items").spliterator(), false)
                    .toList();
            items.stream()
                    .filter(item -> item.path("name").asText().matches(SLOT_NAME_PATTERN))
                    .forEach(item -> slots.put(
                            Slot.of(item.path("name").asText()),
                            item.path("body").asText()));
            if (items.size() < PAGE_ITEMS) {
                return of(slots);
            }
            after = items.get(items.size() - 1).path("name").asText();
        }
    }

    private static ChargeLogView of(Map<Slot, String> slots) {
        Map<String, ChargeEntry> firstCharges = new LinkedHashMap<>();
        slots.forEach((slot, text) -> ChargeBatchCodec.decode(text)
                .entries()
                .forEach(entry -> firstCharges.putIfAbsent(slot.partition() + "/" + entry.key(), entry)));
        return new ChargeLogView(firstCharges);
    }

    long billsOf(RequestKey key) {
        return firstCharges.values().stream()
                .filter(entry -> entry.key().equals(key))
                .count();
    }

    long bills() {
        return firstCharges.size();
    }

    Set<RequestKey> keysOf(String organisation) {
        return firstCharges.values().stream()
                .filter(entry -> entry.budget().organisation().value().equals(organisation))
                .map(ChargeEntry::key)
                .collect(Collectors.toSet());
    }

    long tokensOf(String organisation, String budget) {
        return firstCharges.values().stream()
                .filter(entry -> entry.budget().organisation().value().equals(organisation))
                .filter(entry -> entry.budget().budget().value().equals(budget))
                .mapToLong(ChargeEntry::tokens)
                .sum();
    }

    private record Slot(int partition, long number) {

        static Slot of(String name) {
            int dot = name.indexOf('.');
            return new Slot(Integer.parseInt(name.substring(0, dot)), Long.parseLong(name.substring(dot + 1)));
        }
    }
}
