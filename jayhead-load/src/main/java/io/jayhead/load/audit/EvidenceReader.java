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
 * Reads budget ledgers, charges and executions of bookings after a run.
 *
 * <p>Charges are read only from the slots of the charge log, not from its checkpoints. Routers delete slots when the
 * duplicate window is over, after an hour by default, so a longer run would report missing bills.
 */
public final class EvidenceReader {

    /** Partition and slot number; objects with other names are skipped. */
    private static final Pattern SLOT_NAME = Pattern.compile("(\\d+)\\.(\\d+)");

    private static final int PAGE_ITEMS = 500;

    private final EvidenceSources sources;
    private final JsonClient client = new JsonClient();

    /**
     * Creates a reader.
     *
     * @param sources the addresses and the credential
     */
    public EvidenceReader(EvidenceSources sources) {
        this.sources = sources;
    }

    /**
     * Reads the evidence from all given sources.
     *
     * @param organisations the organisations whose budgets are read
     * @return the evidence
     */
    public Evidence read(List<String> organisations) {
        return new Evidence(
                sources.operatorsAddress().map(address -> budgets(address, organisations)),
                sources.platformAddress().map(this::bills),
                sources.bookingAddresses().isEmpty() ? Optional.empty() : Optional.of(executions()));
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
        return budget(id, client.read(url, sources.operatorCredential()));
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
        String afterName = "";
        while (true) {
            HttpUrl url = HttpUrl.get(address)
                    .newBuilder()
                    .addPathSegments("v1/objects/charge-log")
                    .addQueryParameter("after", afterName)
                    .addQueryParameter("limit", String.valueOf(PAGE_ITEMS))
                    .build();
            JsonNode items = client.read(url, "").path("items");
            if (items.isEmpty()) {
                return slots.stream()
                        .sorted(Comparator.comparing(EvidenceReader::partition).thenComparing(EvidenceReader::slot))
                        .flatMap(slot ->
                                ChargeBatchCodec.decode(slot.path("body").asText()).entries().stream())
                        .map(entry -> new Bill(entry.key().value(), entry.budget(), entry.tokens()))
                        .toList();
            }
            for (JsonNode item : items) {
                afterName = item.path("name").asText();
                if (SLOT_NAME.matcher(afterName).matches()) {
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
        Map<String, Integer> executionsByOrder = new HashMap<>();
        for (String address : sources.bookingAddresses()) {
            HttpUrl url = HttpUrl.get(address)
                    .newBuilder()
                    .addPathSegment("executions")
                    .build();
            client.read(url, "")
                    .path("executions")
                    .fields()
                    .forEachRemaining(entry -> executionsByOrder.merge(
                            entry.getKey(), entry.getValue().asInt(), Integer::sum));
        }
        return executionsByOrder;
    }
}
