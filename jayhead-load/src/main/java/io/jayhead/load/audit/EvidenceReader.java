package io.jayhead.load.audit;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.load.plan.Mix;
import io.jayhead.model.BudgetId;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import okhttp3.HttpUrl;

/**
 * Reads ledgers, charges and executions after a run.
 *
 * <p>Charges are read from the slots of the charge log alone. Routers delete slots once their duplicate window is over,
 * an hour by default, so a longer run would report missing bills.
 */
public final class EvidenceReader {

    /** Partition and slot; other objects are left out. */
    private static final Pattern SLOT_NAME = Pattern.compile("(\\d+)\\.(\\d+)");

    private static final int PAGE_ITEMS = 500;

    private final EvidenceSources sources;
    private final JsonGet json = new JsonGet();

    /**
     * Creates a reader.
     *
     * @param sources the addresses
     */
    public EvidenceReader(EvidenceSources sources) {
        this.sources = sources;
    }

    /**
     * Reads all sources that were given.
     *
     * @param organisations the organisations whose budgets are read
     * @return the evidence
     */
    public Evidence read(List<String> organisations) {
        return new Evidence(
                sources.operators().map(address -> budgets(address, organisations)),
                sources.platform().map(this::bills),
                sources.bookings().isEmpty() ? Optional.empty() : Optional.of(executions()));
    }

    private List<BudgetState> budgets(String address, List<String> organisations) {
        return organisations.stream()
                .flatMap(name ->
                        Stream.of(Mix.GENERATIONS_BUDGET, Mix.BOOKINGS_BUDGET).map(budget -> BudgetId.of(name, budget)))
                .map(id -> budget(address, id))
                .toList();
    }

    private BudgetState budget(String address, BudgetId id) {
        HttpUrl url = HttpUrl.get(address)
                .newBuilder()
                .addPathSegments("operator/v1/budgets")
                .addPathSegment(id.organisation().value())
                .addPathSegment(id.budget().value())
                .build();
        return budget(id, json.read(url, sources.operatorCredential()));
    }

    static BudgetState budget(BudgetId id, JsonNode ledger) {
        long consumedTokens = tokens(ledger, "retired_tokens");
        for (JsonNode grant : ledger.path("grants")) {
            consumedTokens += tokens(grant, "consumed_tokens") - tokens(grant, "borrowed_tokens");
        }
        return new BudgetState(id, tokens(ledger, "paid_tokens"), consumedTokens);
    }

    private static long tokens(JsonNode node, String field) {
        if (!node.path(field).isIntegralNumber()) {
            throw new IllegalStateException("the ledger has no number " + field + ": " + node);
        }
        return node.path(field).asLong();
    }

    private List<Bill> bills(String address) {
        List<JsonNode> slots = new ArrayList<>();
        String after = "";
        while (true) {
            HttpUrl url = HttpUrl.get(address)
                    .newBuilder()
                    .addPathSegments("v1/objects/charge-log")
                    .addQueryParameter("after", after)
                    .addQueryParameter("limit", String.valueOf(PAGE_ITEMS))
                    .build();
            JsonNode items = json.read(url, "").path("items");
            if (items.isEmpty()) {
                return slots.stream()
                        .sorted(Comparator.comparing(EvidenceReader::partition).thenComparing(EvidenceReader::slot))
                        .flatMap(slot ->
                                ChargeBatchCodec.decode(slot.path("body").asText()).entries().stream())
                        .map(entry -> new Bill(entry.key().value(), entry.budget(), entry.tokens()))
                        .toList();
            }
            for (JsonNode item : items) {
                after = item.path("name").asText();
                if (SLOT_NAME.matcher(after).matches()) {
                    slots.add(item);
                }
            }
        }
    }

    private static long partition(JsonNode item) {
        return Long.parseLong(item.path("name").asText().split("\\.")[0]);
    }

    private static long slot(JsonNode item) {
        return Long.parseLong(item.path("name").asText().split("\\.")[1]);
    }

    private Map<String, Integer> executions() {
        Map<String, Integer> sum = new HashMap<>();
        for (String address : sources.bookings()) {
            HttpUrl url = HttpUrl.get(address)
                    .newBuilder()
                    .addPathSegment("executions")
                    .build();
            json.read(url, "")
                    .path("executions")
                    .fields()
                    .forEachRemaining(
                            entry -> sum.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        return sum;
    }
}
