package io.jayhead.daemon.recovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.charge.ChargeEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Creates charges from the requests that an upstream lists in its answer to a fence. */
final class RecoveredCharges {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SERVICE = "recovered";

    /** The request id that a router sends to an upstream: request key, run, organisation and budget. */
    private static final Pattern REQUEST_ID =
            Pattern.compile("([0-9a-f]{64})-[^~]*~([A-Za-z0-9_-]+)\\.([A-Za-z0-9_-]+)");

    private RecoveredCharges() {}

    /** Returns the charges of all listed requests, or empty if the answer or one of its requests is malformed. */
    static Optional<List<ChargeEntry>> parse(IncarnationId holder, String answer) {
        try {
            JsonNode root = MAPPER.readTree(answer);
            List<ChargeEntry> charges = new ArrayList<>();
            boolean complete =
                    add(holder, root.path("cancelled"), charges) && add(holder, root.path("finished"), charges);
            return complete ? Optional.of(charges) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** Returns the largest charge of each request, because a request that ran several times is billed once. */
    static Collection<ChargeEntry> largestByKey(List<ChargeEntry> charges) {
        Map<RequestKey, ChargeEntry> largest = new TreeMap<>();
        charges.forEach(charge ->
                largest.merge(charge.key(), charge, (left, right) -> left.tokens() >= right.tokens() ? left : right));
        return largest.values();
    }

    private static boolean add(IncarnationId holder, JsonNode requests, List<ChargeEntry> charges) {
        if (!requests.isArray()) {
            return false;
        }
        for (JsonNode request : requests) {
            Matcher id = REQUEST_ID.matcher(request.path("id").asText());
            JsonNode promptTokens = request.path("prompt_tokens");
            JsonNode outputTokens = request.path("output_tokens");
            if (!id.matches() || !isCount(promptTokens) || !isCount(outputTokens)) {
                return false;
            }
            charges.add(new ChargeEntry(
                    new RequestKey(id.group(1)),
                    BudgetId.of(id.group(2), id.group(3)),
                    holder,
                    promptTokens.asLong(),
                    outputTokens.asLong(),
                    SERVICE));
        }
        return true;
    }

    private static boolean isCount(JsonNode node) {
        return node.isInt() && node.asInt() >= 0;
    }
}
