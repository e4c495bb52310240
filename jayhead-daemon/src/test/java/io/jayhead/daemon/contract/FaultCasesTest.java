package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards code, verdict, bill and ledger under each fault: a request that was told "not run" must not have run. */
@Execution(ExecutionMode.CONCURRENT)
class FaultCasesTest {

    private static final long PRICE_TOKENS = 5;
    private static final long WORST_CASE_TOKENS = 100;
    private static final long SETTLE_MS = 300;

    @ParameterizedTest
    @EnumSource
    @Execution(ExecutionMode.CONCURRENT)
    void theCallerLearnsTheTruthAndPaysOnce(FaultCase fault) {
        try (Rig rig = Rig.start(fault.options())) {
            RawAnswer answer = run(rig, fault);
            Rig.pause(SETTLE_MS);
            long executions = rig.executions();
            String seen = fault + ": executions=" + executions + "\n" + answer.exact();
            assertFalse(answer.verdict().equals("not_run") && executions > 0, seen);
            assertTrue(fault.codes.contains(answer.code()), seen);
            assertTrue(fault.verdicts.contains(answer.verdict()), seen);
            if (fault.executions >= 0) {
                assertEquals(fault.executions, executions, seen);
            }
            assertEquals(fault != FaultCase.ENGINE_CUTS_IN_MID_STREAM, answer.whole(), seen);
            rig.fault(rig.platform, "\"clear\"");
            assertBilled(rig, fault, answer, seen);
        }
    }

    // Guards against a configuration that is written but reported as failed.
    @Test
    void aLostReplyOfTheFleetWriteIsReadBack() {
        try (Rig rig = Rig.start()) {
            JsonNode fleet = rig.operator("fleet").json();
            rig.fault(rig.platform, "\"drop_reply\",\"path\":\"/v1/objects/fleet/\"");
            RawAnswer answer = rig.apply(
                    fleet.path("version").asLong(),
                    "change-a",
                    fleet.path("text").asText() + "# a\n");
            assertEquals(200, answer.status(), answer.body());
            assertEquals("accepted", answer.json().path("state").asText());
            assertEquals(
                    "change-a", rig.operator("fleet").json().path("change_id").asText());
        }
    }

    // Guards against a second execution of a booking whose first answer was lost (P5).
    @Test
    void aBookingWithUnknownOutcomeIsNeverRepeated() {
        try (Rig rig = Rig.start()) {
            rig.fault(rig.desk, "\"drop_reply\"");
            rig.post("desk", FaultCase.Call.BOOK.body);
            RawAnswer repeated = rig.post("desk", FaultCase.Call.BOOK.body);
            assertEquals("may_have_run", repeated.verdict(), repeated.exact());
            assertEquals(1, rig.executions(rig.desk));
            assertEquals(
                    "/v1/services/desk-status",
                    repeated.json().path("error").path("status_path").asText());
            assertEquals(200, rig.get("desk-status/order-1").status());
        }
    }

    // Guards against "not run" for a booking whose earlier call ran (P4): the claim cannot be read in an outage.
    @Test
    void aBookingThatRanIsNotCalledNotRunWhenItIsRepeatedInAnOutage() {
        try (Rig rig = Rig.start()) {
            rig.fault(rig.desk, "\"drop_reply\"");
            rig.post("desk", FaultCase.Call.BOOK.body);
            rig.fault(rig.platform, "\"outage\"");
            RawAnswer early = rig.post("desk", FaultCase.Call.BOOK.body);
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            RawAnswer late = rig.post("desk", FaultCase.Call.BOOK.body);
            assertEquals(1, rig.executions(rig.desk));
            assertEquals(
                    "may_have_run may_have_run", early.verdict() + " " + late.verdict(), early.body() + late.body());
        }
    }

    // Guards against a claim that stays taken although its booking was refused.
    @Test
    void aRefusedBookingRunsWhenItIsRepeatedLater() {
        try (Rig rig = Rig.start()) {
            rig.fault(rig.desk, "\"draining\"");
            assertEquals("not_run", rig.post("desk", FaultCase.Call.BOOK.body).verdict());
            rig.fault(rig.desk, "\"clear\"");
            rig.await(() -> rig.post("desk", FaultCase.Call.BOOK.body).verdict().equals("ran"));
            assertEquals(1, rig.executions(rig.desk));
        }
    }

    // Guards against an outage that stops what can go on: status reads, and generations on a grant that is held.
    @Test
    void statusReadsGoOnInAnOutageAndBookingsAreRefusedAtOnce() {
        try (Rig rig = Rig.start()) {
            rig.post("desk", FaultCase.Call.BOOK.body);
            rig.fault(rig.platform, "\"outage\"");
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            assertEquals(200, rig.get("desk-status/order-1").status());
            long startMs = System.currentTimeMillis();
            assertEquals("not_run", rig.post("desk", "{\"order\":\"order-2\"}").verdict());
            assertTrue(System.currentTimeMillis() - startMs < 500, "refused late");
            assertEquals(1, rig.executions(rig.desk));
        }
    }

    // Guards against an outage that stops generations, and against charges that are lost or written twice after it.
    @Test
    void generationsGoOnInAnOutageAndAreBilledOnceAfterIt() {
        try (Rig rig = Rig.start(RigOptions.standard().withRouters(3))) {
            long usedTokens = rig.post("ask", FaultCase.Call.ASK.body).usedTokens();
            rig.fault(rig.platform, "\"outage\"");
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            RawAnswer answer = rig.post("ask", FaultCase.Call.ASK.body);
            assertEquals("ran", answer.verdict(), answer.exact());
            assertEquals("ok", answer.code(), answer.exact());
            long expectedTokens = usedTokens + answer.usedTokens();
            rig.fault(rig.platform, "\"clear\"");
            rig.await(() -> rig.budget().path("billed_tokens").asLong() == expectedTokens);
            Rig.pause(SETTLE_MS);
            assertEquals(expectedTokens, rig.budget().path("billed_tokens").asLong());
            assertEquals(2, rig.executions());
        }
    }

    private static RawAnswer run(Rig rig, FaultCase fault) {
        AtomicBoolean ordered = new AtomicBoolean();
        if (fault.moment == FaultCase.Moment.BEFORE) {
            fault.fault.accept(rig);
        } else if (fault.moment == FaultCase.Moment.CLAIMED) {
            rig.whenWritten("claim", () -> fault.fault.accept(rig));
        }
        String request = RawHttp.request("POST", "/v1/services/" + fault.call.service, Rig.SHOP_KEY, fault.call.body);
        return RawHttp.send(rig.callersPort(), request, chunk -> {
            if (fault.moment == FaultCase.Moment.FIRST_TOKEN && ordered.compareAndSet(false, true)) {
                fault.fault.accept(rig);
            }
        });
    }

    private static void assertBilled(Rig rig, FaultCase fault, RawAnswer answer, String seen) {
        rig.await(() -> rig.operator("budgets/shop-1/main").status() == 200
                && rig.operator("status").json().path("pending_charges").asInt() == 0
                && rig.operator("status").json().path("in_flight").asInt() == 0);
        JsonNode budget = rig.budget();
        long billed = budget.path("billed_tokens").asLong();
        String detail = seen + budget;
        switch (fault.bill) {
            case NOTHING -> assertEquals(0, billed, detail);
            case USAGE -> assertEquals(answer.usedTokens(), billed, detail);
            case PRICE -> assertEquals(PRICE_TOKENS, billed, detail);
            case BY_VERDICT -> assertEquals(answer.verdict().equals("ran") ? PRICE_TOKENS : 0, billed, detail);
            default -> assertTrue(billed >= answer.deliveredTokens() && billed <= WORST_CASE_TOKENS, detail);
        }
        long granted = 0;
        for (JsonNode grant : budget.path("grants")) {
            granted += grant.path("state").asText().equals("closed")
                    ? 0
                    : grant.path("granted_tokens").asLong();
        }
        long retired = budget.path("retired_tokens").asLong();
        assertTrue(retired + granted <= budget.path("paid_tokens").asLong(), detail);
        assertTrue(billed <= retired + granted, detail);
    }
}
