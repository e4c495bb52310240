package io.jayhead.daemon.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.daemon.budget.Ledgers;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.VmName;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerTraffic;
import io.jayhead.peer.pb.Append;
import io.jayhead.peer.pb.AppendOutcome;
import io.jayhead.peer.pb.Frame;
import io.jayhead.peer.pb.HoldCharges;
import io.jayhead.platform.EditResult;
import io.jayhead.platform.ReadResult;
import io.jayhead.settlement.charge.ChargeBatchCodec;
import io.jayhead.settlement.charge.ChargeEntry;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Response;
import org.junit.jupiter.api.Test;

class RecoveryTest {

    private static final IncarnationId HOLDER = IncarnationId.of("lost-1");
    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("request"));
    private static final RequestKey LATE_KEY = new RequestKey(RequestKey.sha256("late"));
    private static final long GRANTED_TOKENS = 500;

    /**
     * Guards against a killed router's grant that stays written off, or is closed with other than what ran. The bound
     * of what the router may have lent is retired too, because a borrower may still spend it.
     */
    @Test
    void aKilledRoutersGrantIsClosedWithExactlyWhatRan() throws Exception {
        try (Fleet fleet = new Fleet(true)) {
            fleet.write(BudgetLedger.empty(Fleet.BUDGET).topUp("t", 100_000).get());
            Fleet.Router lost = fleet.router("vm-a");
            Fleet.Router survivor = fleet.router("vm-b");
            Response stream = fleet.send(
                    "POST",
                    lost.callers() + "/v1/services/plan",
                    "{\"prompt\":\"long text\",\"max_tokens\":900,\"stream\":true}");
            assertEquals("event:token", stream.body().source().readUtf8Line().replace(" ", ""));
            long lentTokens =
                    fleet.ledger().entries().values().iterator().next().lentTokens();

            fleet.kill(lost);

            Fleet.until(() -> fleet.ledger().entries().isEmpty());
            JsonNode totals = fleet.call("GET", fleet.engine.address() + "/v1/totals", null);
            assertEquals(
                    totals.path("prompt_tokens").asLong()
                            + totals.path("output_tokens").asLong(),
                    fleet.ledger().retiredTokens() - lentTokens);
            assertTrue(totals.path("output_tokens").asLong() > 0);
            assertEquals("closed", fleet.reclaim(survivor).path("step").asText());
            Fleet.until(() -> fleet.store.read("member", "vm-a").join() instanceof ReadResult.Missing);
            stream.close();
        }
    }

    /** Guards against closing the entry of a holder that can still spend at an engine. */
    @Test
    void aGrantThatAnUnfencedEngineTakesStaysWrittenOff() {
        try (Fleet fleet = new Fleet(false)) {
            fleet.write(lostHolder());
            Fleet.Router router = fleet.router("vm-b");

            Fleet.until(() -> fleet.reclaim(router).path("step").asText().equals("written_off"));

            assertEquals(
                    "upstream engine-a does not check fencing",
                    fleet.reclaim(router).path("written_off_because").asText());
            Fleet.sleep(1_000);
            assertEquals(
                    GRANTED_TOKENS, fleet.ledger().entry(HOLDER).orElseThrow().grantedTokens());
        }
    }

    /** Guards against a holder that spends, or bills what was not counted, after its grant was reclaimed. */
    @Test
    void aHolderThatWakesAfterItsReclaimNeitherDispatchesNorAddsACharge() throws Exception {
        try (Fleet fleet = new Fleet(true)) {
            fleet.write(lostHolder());
            assertEquals(200, generate(fleet, KEY));
            Fleet.Router router = fleet.router("vm-b");

            Fleet.until(() -> fleet.ledger().entries().isEmpty());

            long retiredTokens = fleet.ledger().retiredTokens();
            assertEquals(409, generate(fleet, LATE_KEY));
            ChargeEntry late = new ChargeEntry(KEY, Fleet.BUDGET, HOLDER, 3, 20, "plan");
            AppendOutcome outcome = append(router, late);
            assertEquals(AppendOutcome.Status.DUPLICATE, outcome.getStatus());
            assertEquals(
                    retiredTokens,
                    ChargeBatchCodec.decodeEntry(outcome.getFirstEntry()).tokens());
            Ledgers ledgers = new Ledgers(fleet.store, fleet.editor, HOLDER);
            GrantAccount account = GrantAccount.empty(Fleet.BUDGET);
            assertInstanceOf(EditResult.Refused.class, ledgers.report(account).join());
            assertInstanceOf(
                    EditResult.Refused.class,
                    ledgers.grant(account, GrantSizer.of(100), 1, 100, 0, 1, new AtomicLong())
                            .join());
            assertEquals(retiredTokens, fleet.ledger().retiredTokens());
        }
    }

    /** Guards against a reclaim that is never finished, or counts less, because the first router to try died. */
    @Test
    void anotherRouterFinishesAReclaimWhoseRouterDiedAfterTheFence() throws Exception {
        try (Fleet fleet = new Fleet(true)) {
            fleet.write(lostHolder().beginReclaim(HOLDER, "earlier").get());
            assertEquals(200, generate(fleet, KEY));
            fleet.call("POST", fleet.engine.address() + "/v1/fence", "{\"holder\":\"lost-1\",\"number\":2}");
            fleet.router("vm-b");

            Fleet.until(() -> fleet.ledger().entries().isEmpty());

            JsonNode totals = fleet.call("GET", fleet.engine.address() + "/v1/totals", null);
            assertEquals(
                    totals.path("prompt_tokens").asLong()
                            + totals.path("output_tokens").asLong(),
                    fleet.ledger().retiredTokens());
        }
    }

    /** Guards against closing an entry before the charges that other routers hold are in the log. */
    @Test
    void chargesThatRoutersHoldForALostOneAreCounted() throws Exception {
        try (Fleet fleet = new Fleet(true)) {
            Fleet.Router first = fleet.router("vm-b");
            Fleet.Router second = fleet.router("vm-c");
            fleet.write(lostHolder());
            hold(first, new ChargeEntry(KEY, Fleet.BUDGET, HOLDER, 3, 20, "plan"));
            hold(second, new ChargeEntry(LATE_KEY, Fleet.BUDGET, HOLDER, 3, 20, "plan"));
            Member lost =
                    new Member(VmName.of("vm-x"), HOLDER, AvailabilityZone.of("az-1"), Member.address("127.0.0.1:1"));
            fleet.store.create("member", "vm-x", lost.encode()).join();

            Fleet.until(() -> fleet.ledger().entries().isEmpty());

            assertEquals(46, fleet.ledger().retiredTokens());
        }
    }

    private static BudgetLedger lostHolder() {
        return BudgetLedger.empty(Fleet.BUDGET)
                .topUp("t", 1_000)
                .flatMap(ledger -> ledger.open(HOLDER))
                .flatMap(ledger -> ledger.grant(HOLDER, GRANTED_TOKENS))
                .get();
    }

    /** Runs a request to its end as the lost holder and returns the status. */
    private static int generate(Fleet fleet, RequestKey key) throws Exception {
        try (Response response = fleet.send(
                "POST",
                fleet.engine.address() + "/v1/generate",
                "{\"model\":\"m\",\"prompt\":\"three short words\",\"max_tokens\":20}",
                "X-Request-Id",
                key.value() + "-1~" + Fleet.BUDGET.objectName(),
                "X-Fence-Holder",
                HOLDER.value(),
                "X-Fence-Number",
                "1")) {
            response.body().string();
            return response.code();
        }
    }

    private static void hold(Fleet.Router router, ChargeEntry entry) throws Exception {
        HoldCharges held = HoldCharges.newBuilder()
                .addEntries(ChargeBatchCodec.encodeEntry(entry))
                .build();
        request(router, Frame.newBuilder().setHoldCharges(held).build());
    }

    private static AppendOutcome append(Fleet.Router router, ChargeEntry entry) throws Exception {
        Append append = Append.newBuilder()
                .addEntries(ChargeBatchCodec.encodeEntry(entry))
                .build();
        return request(router, Frame.newBuilder().setAppend(append).build())
                .getAppendReply()
                .getOutcomes(0);
    }

    private static Frame request(Fleet.Router router, Frame frame) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (PeerClient client = PeerClient.of(group, PeerTraffic.NONE)) {
            return client.request(new InetSocketAddress("127.0.0.1", router.peers()), frame, 5_000)
                    .get();
        } finally {
            group.shutdownGracefully();
        }
    }
}
