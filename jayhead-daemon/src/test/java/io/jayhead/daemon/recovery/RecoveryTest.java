package io.jayhead.daemon.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.jayhead.admission.budget.BudgetLedger;
import io.jayhead.admission.budget.GrantAccount;
import io.jayhead.admission.budget.GrantSizer;
import io.jayhead.daemon.budget.BudgetLedgerEditor;
import io.jayhead.daemon.fleet.Member;
import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.IncarnationId;
import io.jayhead.model.RequestKey;
import io.jayhead.model.VmName;
import io.jayhead.peer.PeerClient;
import io.jayhead.peer.PeerTrafficListener;
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

/**
 * Guards the recovery from lost routers: a grant must be closed with exactly the tokens that its holder spent, and must
 * stay open while the holder may still spend. Wrong sums come about when a reclaim overlaps with running requests, with
 * charges that other routers hold, or with a holder that was only suspended.
 */
class RecoveryTest {

    private static final IncarnationId HOLDER = IncarnationId.of("lost-1");
    private static final RequestKey KEY = new RequestKey(RequestKey.sha256("request"));
    private static final RequestKey LATE_KEY = new RequestKey(RequestKey.sha256("late"));
    private static final long GRANTED_TOKENS = 500;

    /**
     * Guards against a killed router's grant that stays written off or is closed with a sum other than the tokens that
     * were spent. The limit of the tokens that the router may have lent is retired too, because a borrower may still
     * spend them.
     */
    @Test
    void aKilledRoutersGrantIsClosedWithExactlyWhatRan() throws Exception {
        try (TestFleet fleet = new TestFleet(true)) {
            fleet.createLedger(
                    BudgetLedger.empty(TestFleet.BUDGET).topUp("t", 100_000).get());
            TestFleet.Router lost = fleet.startRouter("vm-a");
            TestFleet.Router survivor = fleet.startRouter("vm-b");
            Response stream = fleet.send(
                    "POST",
                    lost.callers() + "/v1/services/plan",
                    "{\"prompt\":\"long text\",\"max_tokens\":900,\"stream\":true}");
            assertEquals("event:token", stream.body().source().readUtf8Line().replace(" ", ""));
            long lentTokens =
                    fleet.ledger().entries().values().iterator().next().lentTokens();

            fleet.kill(lost);

            TestFleet.await(() -> fleet.ledger().entries().isEmpty());
            JsonNode totals = fleet.call("GET", fleet.engine.address() + "/v1/totals", null);
            assertEquals(
                    totals.path("prompt_tokens").asLong()
                            + totals.path("output_tokens").asLong(),
                    fleet.ledger().retiredTokens() - lentTokens);
            assertTrue(totals.path("output_tokens").asLong() > 0);
            assertEquals("closed", fleet.firstReclaim(survivor).path("step").asText());
            TestFleet.await(() -> fleet.store.read("member", "vm-a").join() instanceof ReadResult.Missing);
            stream.close();
        }
    }

    /** Guards against closing the ledger entry of a holder that can still spend at an engine without fencing. */
    @Test
    void aGrantThatAnUnfencedEngineTakesStaysWrittenOff() {
        try (TestFleet fleet = new TestFleet(false)) {
            fleet.createLedger(lostHolder());
            TestFleet.Router router = fleet.startRouter("vm-b");

            TestFleet.await(
                    () -> fleet.firstReclaim(router).path("step").asText().equals("written_off"));

            assertEquals(
                    "upstream engine-a does not check fencing",
                    fleet.firstReclaim(router).path("written_off_because").asText());
            TestFleet.pause(1_000);
            assertEquals(
                    GRANTED_TOKENS, fleet.ledger().entry(HOLDER).orElseThrow().grantedTokens());
        }
    }

    /**
     * Guards against a suspended holder that resumes after its grant was reclaimed and then spends or adds a charge.
     */
    @Test
    void aHolderThatWakesAfterItsReclaimNeitherDispatchesNorAddsACharge() throws Exception {
        try (TestFleet fleet = new TestFleet(true)) {
            fleet.createLedger(lostHolder());
            assertEquals(200, generate(fleet, KEY));
            TestFleet.Router router = fleet.startRouter("vm-b");

            TestFleet.await(() -> fleet.ledger().entries().isEmpty());

            long retiredTokens = fleet.ledger().retiredTokens();
            assertEquals(409, generate(fleet, LATE_KEY));
            ChargeEntry late = new ChargeEntry(KEY, TestFleet.BUDGET, HOLDER, 3, 20, "plan");
            AppendOutcome outcome = append(router, late);
            assertEquals(AppendOutcome.Status.DUPLICATE, outcome.getStatus());
            assertEquals(
                    retiredTokens,
                    ChargeBatchCodec.decodeEntry(outcome.getFirstEntry()).tokens());
            BudgetLedgerEditor ledgers = new BudgetLedgerEditor(fleet.store, fleet.editor, HOLDER);
            GrantAccount account = GrantAccount.empty(TestFleet.BUDGET);
            assertInstanceOf(EditResult.Refused.class, ledgers.report(account).join());
            assertInstanceOf(
                    EditResult.Refused.class,
                    ledgers.grant(account, GrantSizer.of(100), 1, 100, 0, 1, new AtomicLong())
                            .join());
            assertEquals(retiredTokens, fleet.ledger().retiredTokens());
        }
    }

    /** Guards against a reclaim that never ends, or misses charges, because the first router that tried it died. */
    @Test
    void anotherRouterFinishesAReclaimWhoseRouterDiedAfterTheFence() throws Exception {
        try (TestFleet fleet = new TestFleet(true)) {
            fleet.createLedger(lostHolder().beginReclaim(HOLDER, "earlier").get());
            assertEquals(200, generate(fleet, KEY));
            fleet.call("POST", fleet.engine.address() + "/v1/fence", "{\"holder\":\"lost-1\",\"number\":2}");
            fleet.startRouter("vm-b");

            TestFleet.await(() -> fleet.ledger().entries().isEmpty());

            JsonNode totals = fleet.call("GET", fleet.engine.address() + "/v1/totals", null);
            assertEquals(
                    totals.path("prompt_tokens").asLong()
                            + totals.path("output_tokens").asLong(),
                    fleet.ledger().retiredTokens());
        }
    }

    /** Guards against closing a ledger entry before the charges that other routers hold are in the charge log. */
    @Test
    void chargesThatRoutersHoldForALostOneAreCounted() throws Exception {
        try (TestFleet fleet = new TestFleet(true)) {
            TestFleet.Router first = fleet.startRouter("vm-b");
            TestFleet.Router second = fleet.startRouter("vm-c");
            fleet.createLedger(lostHolder());
            hold(first, new ChargeEntry(KEY, TestFleet.BUDGET, HOLDER, 3, 20, "plan"));
            hold(second, new ChargeEntry(LATE_KEY, TestFleet.BUDGET, HOLDER, 3, 20, "plan"));
            Member lost =
                    new Member(VmName.of("vm-x"), HOLDER, AvailabilityZone.of("az-1"), Member.address("127.0.0.1:1"));
            fleet.store.create("member", "vm-x", lost.encode()).join();

            TestFleet.await(() -> fleet.ledger().entries().isEmpty());

            assertEquals(46, fleet.ledger().retiredTokens());
        }
    }

    private static BudgetLedger lostHolder() {
        return BudgetLedger.empty(TestFleet.BUDGET)
                .topUp("t", 1_000)
                .flatMap(ledger -> ledger.open(HOLDER))
                .flatMap(ledger -> ledger.grant(HOLDER, GRANTED_TOKENS))
                .get();
    }

    /** Runs a request to its end at the engine, in the name of the lost holder, and returns the HTTP status. */
    private static int generate(TestFleet fleet, RequestKey key) throws Exception {
        try (Response response = fleet.send(
                "POST",
                fleet.engine.address() + "/v1/generate",
                "{\"model\":\"m\",\"prompt\":\"three short words\",\"max_tokens\":20}",
                "X-Request-Id",
                key.value() + "-1~" + TestFleet.BUDGET.objectName(),
                "X-Fence-Holder",
                HOLDER.value(),
                "X-Fence-Number",
                "1")) {
            response.body().string();
            return response.code();
        }
    }

    private static void hold(TestFleet.Router router, ChargeEntry entry) throws Exception {
        HoldCharges held = HoldCharges.newBuilder()
                .addEntries(ChargeBatchCodec.encodeEntry(entry))
                .build();
        request(router, Frame.newBuilder().setHoldCharges(held).build());
    }

    private static AppendOutcome append(TestFleet.Router router, ChargeEntry entry) throws Exception {
        Append append = Append.newBuilder()
                .addEntries(ChargeBatchCodec.encodeEntry(entry))
                .build();
        return request(router, Frame.newBuilder().setAppend(append).build())
                .getAppendReply()
                .getOutcomes(0);
    }

    private static Frame request(TestFleet.Router router, Frame frame) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (PeerClient client = PeerClient.of(group, PeerTrafficListener.NONE)) {
            return client.request(new InetSocketAddress("127.0.0.1", router.peers()), frame, 5_000)
                    .get();
        } finally {
            group.shutdownGracefully();
        }
    }
}
