package io.jayhead.load.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jayhead.model.BudgetId;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.settlement.charge.ChargeBatch;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import io.jayhead.standins.StandinsMain;
import io.jayhead.standins.http.StandinServer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import org.junit.jupiter.api.Test;

class EvidenceReaderTest {

    private static final BudgetId BUDGET = BudgetId.of("org-1", "main");

    private final OkHttpClient http = new OkHttpClient();

    private static StandinServer start(String... arguments) {
        return StandinsMain.start(status -> {}, arguments);
    }

    private void send(Request.Builder request) throws Exception {
        try (Response response = http.newCall(request.build()).execute()) {
            assertTrue(response.isSuccessful(), "answer " + response.code());
        }
    }

    private void putSlot(String platform, String name, String text) throws Exception {
        send(new Request.Builder()
                .url(platform + "/v1/objects/charge-log/" + name)
                .header("If-None-Match", "*")
                .put(RequestBody.create(text, null)));
    }

    private static String encodedBatch(String key, long tokens) {
        ChargeEntry entry = new ChargeEntry(
                new RequestKey(RequestKey.sha256(key)), BUDGET, IncarnationId.of("i-1"), tokens, 0, "ask");
        return ChargeBatchCodec.encode(new ChargeBatch("nonce-" + tokens, 1, List.of(entry)));
    }

    /**
     * Guards against slots sorted by name as text, which would put slot 10 before slot 9 and take a later charge of a
     * key for its first.
     */
    @Test
    void slotsAreReadInTheOrderOfTheirNumbers() throws Exception {
        try (StandinServer platform = start("platform")) {
            String address = platform.address();
            putSlot(address, "0.10", encodedBatch("a", 30));
            putSlot(address, "0.9", encodedBatch("a", 20));
            putSlot(address, "1.0", encodedBatch("b", 40));
            EvidenceSources sources = new EvidenceSources(Optional.empty(), "", Optional.of(address), List.of());
            List<Bill> bills =
                    new EvidenceReader(sources).read(List.of("org-1")).bills().orElseThrow();
            assertEquals(
                    List.of(20L, 30L, 40L), bills.stream().map(Bill::tokens).toList());
        }
    }

    /** Guards against a double execution that stays hidden because two services executed the order once each. */
    @Test
    void executionsOfAllServicesAreAdded() throws Exception {
        try (StandinServer first = start("booking");
                StandinServer second = start("booking")) {
            for (StandinServer server : List.of(first, second)) {
                send(new Request.Builder()
                        .url(server.address() + "/bookings")
                        .post(RequestBody.create("{\"order\":\"o-1\"}", null)));
            }
            EvidenceSources sources = new EvidenceSources(
                    Optional.empty(), "", Optional.empty(), List.of(first.address(), second.address()));
            assertEquals(
                    Map.of("o-1", 2),
                    new EvidenceReader(sources).read(List.of()).executions().orElseThrow());
        }
    }

    /** Guards against a ledger with missing fields that counts as unspent. */
    @Test
    void aLedgerCountsClosedAndOpenEntries() throws Exception {
        String ledger = "{\"paid_tokens\":100,\"retired_tokens\":30,"
                + "\"grants\":[{\"consumed_tokens\":5,\"borrowed_tokens\":0},"
                + "{\"consumed_tokens\":17,\"borrowed_tokens\":10}]}";
        BudgetState state = EvidenceReader.budget(BUDGET, new ObjectMapper().readTree(ledger));
        assertEquals(42, state.consumedTokens());
        assertThrows(
                IllegalStateException.class, () -> EvidenceReader.budget(BUDGET, new ObjectMapper().readTree("{}")));
    }

    /** Guards against a run that loses its evidence because the platform briefly limits the rate of reads. */
    @Test
    void aBusyAnswerIsAskedAgainAndOthersFail() throws Exception {
        try (MockWebServer router = new MockWebServer()) {
            router.enqueue(new MockResponse().setResponseCode(503));
            router.enqueue(new MockResponse().setBody("{\"a\":1}"));
            router.enqueue(new MockResponse().setResponseCode(404));
            assertEquals(1, new JsonClient().read(router.url("/"), "").path("a").asInt());
            assertThrows(IllegalStateException.class, () -> new JsonClient().read(router.url("/"), ""));
        }
    }
}
