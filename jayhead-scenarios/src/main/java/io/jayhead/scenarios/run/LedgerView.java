package io.jayhead.scenarios.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.scenarios.client.HttpReply;
import io.jayhead.scenarios.client.HttpSender;
import io.jayhead.scenarios.client.Json;
import java.util.Map;
import java.util.stream.StreamSupport;

/**
 * Holds the sums of a budget's ledger, read from the platform without the daemon's own ledger code.
 *
 * @param paidTokens the sum of the top-ups
 * @param retiredTokens the spent tokens of closed entries
 * @param grantedTokens the granted tokens of all open entries
 * @param consumedTokens the consumed tokens reported in all open entries
 */
record LedgerView(long paidTokens, long retiredTokens, long grantedTokens, long consumedTokens) {

    private static final int NOT_FOUND = 404;

    static LedgerView read(String platform, String organisation, String budget) {
        String url = platform + "/v1/objects/budget/" + organisation + "." + budget;
        HttpReply reply = HttpSender.send("GET", url, Map.of(), "");
        if (reply.status() == NOT_FOUND) {
            return new LedgerView(0, 0, 0, 0);
        }
        JsonNode ledger = Json.read(reply.body());
        if (!reply.isSuccess() || !ledger.has("retiredTokens") || !ledger.has("topUps") || !ledger.has("entries")) {
            throw new IllegalStateException("cannot read the ledger: " + reply);
        }
        return new LedgerView(
                sum(ledger.path("topUps"), ""),
                ledger.path("retiredTokens").asLong(),
                sum(ledger.path("entries"), "/grantedTokens"),
                sum(ledger.path("entries"), "/consumedTokens"));
    }

    /** Returns the tokens, retired or granted, beyond the paid ones. */
    long excessTokens() {
        return Math.max(0, retiredTokens + grantedTokens - paidTokens);
    }

    long spentTokens() {
        return retiredTokens + consumedTokens;
    }

    private static long sum(JsonNode fields, String pointer) {
        return StreamSupport.stream(fields.spliterator(), false)
                .mapToLong(field -> field.at(pointer).asLong())
                .sum();
    }
}
