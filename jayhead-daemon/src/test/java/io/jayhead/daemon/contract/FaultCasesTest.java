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

/**
 * Guards the error code, verdict, bill and ledger under each fault. A lost answer or a dependency that fails in the
 * middle of a request must not lead to "not run" for a request that ran, to unexpected executions or to a wrong bill.
 */
@Execution(ExecutionMode.CONCURRENT)
class FaultCasesTest {

    private static final long PRICE_TOKENS = 5;
    private static final long WORST_CASE_TOKENS = 100;
    private static final long SETTLE_MS = 300;

    @ParameterizedTest
    @EnumSource
    @Execution(ExecutionMode.CONCURRENT)
    void theCallerLearnsTheTruthAndPaysOnce(FaultCase faultCase) {
        try (Rig rig = Rig.start(faultCase.options())) {
            RawAnswer answer = run(rig, faultCase);
            Rig.pause(SETTLE_MS);
            long executions = rig.executions();
            String details = faultCase + ": executions=" + executions + "\n" + answer.exact();
            assertFalse(answer.verdict().equals("not_run") && executions > 0, details);
            assertTrue(faultCase.codes.contains(answer.code()), details);
            assertTrue(faultCase.verdicts.contains(answer.verdict()), details);
            if (faultCase.executions >= 0) {
                assertEquals(faultCase.executions, executions, details);
            }
            assertEquals(faultCase != FaultCase.ENGINE_CUTS_IN_MID_STREAM, answer.complete(), details);
            rig.injectFault(rig.platform, "\"clear\"");
            assertBilled(rig, faultCase, answer, details);
        }
    }

    // Guards against a configuration that was written but is reported as failed.
    @Test
    void aLostReplyOfTheFleetWriteIsReadBack() {
        try (Rig rig = Rig.start()) {
            JsonNode fleet = rig.operator("fleet").json();
            rig.injectFault(rig.platform, "\"drop_reply\",\"path\":\"/v1/objects/fleet/\"");
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

    // Guards against a second execution of a booking whose first answer was lost (property P5).
    @Test
    void aBookingWithUnknownOutcomeIsNeverRepeated() {
        try (Rig rig = Rig.start()) {
            rig.injectFault(rig.bookingService, "\"drop_reply\"");
            rig.post("desk", FaultCase.Call.BOOK.body);
            RawAnswer repeated = rig.post("desk", FaultCase.Call.BOOK.body);
            assertEquals("may_have_run", repeated.verdict(), repeated.exact());
            assertEquals(1, rig.executions(rig.bookingService));
            assertEquals(
                    "/v1/services/desk-status",
                    repeated.json().path("error").path("status_path").asText());
            assertEquals(200, rig.get("desk-status/order-1").status());
        }
    }

    // Guards against "not run" for a booking that ran earlier (property P4), as its claim is unreadable in an outage.
    @Test
    void aBookingThatRanIsNotCalledNotRunWhenItIsRepeatedInAnOutage() {
        try (Rig rig = Rig.start()) {
            rig.injectFault(rig.bookingService, "\"drop_reply\"");
            rig.post("desk", FaultCase.Call.BOOK.body);
            rig.injectFault(rig.platform, "\"outage\"");
            RawAnswer early = rig.post("desk", FaultCase.Call.BOOK.body);
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            RawAnswer late = rig.post("desk", FaultCase.Call.BOOK.body);
            assertEquals(1, rig.executions(rig.bookingService));
            assertEquals(
                    "may_have_run may_have_run", early.verdict() + " " + late.verdict(), early.body() + late.body());
        }
    }

    // Guards against a claim that is not released although its booking was refused.
    @Test
    void aRefusedBookingRunsWhenItIsRepeatedLater() {
        try (Rig rig = Rig.start()) {
            rig.injectFault(rig.bookingService, "\"draining\"");
            assertEquals("not_run", rig.post("desk", FaultCase.Call.BOOK.body).verdict());
            rig.injectFault(rig.bookingService, "\"clear\"");
            rig.await(() -> rig.post("desk", FaultCase.Call.BOOK.body).verdict().equals("ran"));
            assertEquals(1, rig.executions(rig.bookingService));
        }
    }

    // Guards against an outage that stops status reads, which need no platform, or delays the refusal of bookings.
    @Test
    void statusReadsGoOnInAnOutageAndBookingsAreRefusedAtOnce() {
        try (Rig rig = Rig.start()) {
            rig.post("desk", FaultCase.Call.BOOK.body);
            rig.injectFault(rig.platform, "\"outage\"");
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            assertEquals(200, rig.get("desk-status/order-1").status());
            long startMs = System.currentTimeMillis();
            assertEquals("not_run", rig.post("desk", "{\"order\":\"order-2\"}").verdict());
            assertTrue(System.currentTimeMillis() - startMs < 500, "refused late");
            assertEquals(1, rig.executions(rig.bookingService));
        }
    }

    // Guards against an outage that stops generations, and against charges that are lost or written twice after it.
    @Test
    void generationsGoOnInAnOutageAndAreBilledOnceAfterIt() {
        try (Rig rig = Rig.start(RigOptions.standard().withRouters(3))) {
            long usedTokens = rig.post("ask", FaultCase.Call.ASK.body).usedTokens();
            rig.injectFault(rig.platform, "\"outage\"");
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            RawAnswer answer = rig.post("ask", FaultCase.Call.ASK.body);
            assertEquals("ran", answer.verdict(), answer.exact());
            assertEquals("ok", answer.code(), answer.exact());
            long expectedTokens = usedTokens + answer.usedTokens();
            rig.injectFault(rig.platform, "\"clear\"");
            rig.await(() -> rig.budget().path("billed_tokens").asLong() == expectedTokens);
            Rig.pause(SETTLE_MS);
            assertEquals(expectedTokens, rig.budget().path("billed_tokens").asLong());
            assertEquals(2, rig.executions());
        }
    }

    private static RawAnswer run(Rig rig, FaultCase faultCase) {
        AtomicBoolean injected = new AtomicBoolean();
        if (faultCase.moment == FaultCase.Moment.BEFORE) {
            faultCase.fault.accept(rig);
        } else if (faultCase.moment == FaultCase.Moment.CLAIMED) {
            rig.whenWritten("claim", () -> faultCase.fault.accept(rig));
        }
        String request =
                RawHttp.request("POST", "/v1/services/" + faultCase.call.service, Rig.SHOP_KEY, faultCase.call.body);
        return RawHttp.send(rig.callersPort(), request, chunk -> {
            if (faultCase.moment == FaultCase.Moment.FIRST_TOKEN && injected.compareAndSet(false, true)) {
                faultCase.fault.accept(rig);
            }
        });
    }

    private static void assertBilled(Rig rig, FaultCase faultCase, RawAnswer answer, String details) {
        rig.await(() -> rig.operator("budgets/shop-1/main").status() == 200
                && rig.operator("status").json().path("pending_charges").asInt() == 0
                && rig.operator("status").json().path("in_flight").asInt() == 0);
        JsonNode budget = rig.budget();
        long billed = budget.path("billed_tokens").asLong();
        String detailsWithBudget = details + budget;
        switch (faultCase.bill) {
            case NOTHING -> assertEquals(0, billed, detailsWithBudget);
            case USAGE -> assertEquals(answer.usedTokens(), billed, detailsWithBudget);
            case PRICE -> assertEquals(PRICE_TOKENS, billed, detailsWithBudget);
            case BY_VERDICT ->
                assertEquals(answer.verdict().equals("ran") ? PRICE_TOKENS : 0, billed, detailsWithBudget);
            default -> assertTrue(billed >= answer.deliveredTokens() && billed <= WORST_CASE_TOKENS, detailsWithBudget);
        }
        long granted = 0;
        for (JsonNode grant : budget.path("grants")) {
            granted += grant.path("state").asText().equals("closed")
                    ? 0
                    : grant.path("granted_tokens").asLong();
        }
        long retired = budget.path("retired_tokens").asLong();
        assertTrue(retired + granted <= budget.path("paid_tokens").asLong(), detailsWithBudget);
        assertTrue(billed <= retired + granted, detailsWithBudget);
    }
}
