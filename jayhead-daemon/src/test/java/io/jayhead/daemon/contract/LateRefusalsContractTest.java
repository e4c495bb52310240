package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the refusals that callers get only after a fault or an earlier request, such as a booking
 * still in progress. The golden files are a promise to callers and must never change.
 */
class LateRefusalsContractTest {

    private static final String QUESTION = "{\"prompt\":\"where is my parcel\",\"max_tokens\":5}";
    private static final String ORDER = "{\"order\":\"order-1\"}";
    private static final String LONG_ORDER = "{\"order\":\"order-2\"}";

    @Test
    void aBookingThatStillRunsIsInProgress() {
        try (Rig rig = Rig.start(RigOptions.standard().withBookingDelayMs(1_000))) {
            Thread first = inBackground(() -> rig.post("desk", ORDER));
            rig.await(() -> rig.executions(rig.bookingService) == 1);
            Approvals.verify(rig.post("desk", ORDER).exact());
            join(first);
            assertEquals(1, rig.executions(rig.bookingService));
        }
    }

    @Test
    void aBookingWithoutAnAnswerHasAnUnknownOutcome() {
        try (Rig rig = Rig.start()) {
            rig.injectFault(rig.bookingService, "\"drop_reply\"");
            Approvals.verify(rig.post("desk", ORDER).exact() + "--- repeated\n"
                    + rig.post("desk", ORDER).exact());
        }
    }

    @Test
    void aBookingInAnOutageIsRefused() {
        try (Rig rig = Rig.start()) {
            rig.injectFault(rig.platform, "\"outage\"");
            rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
            Approvals.verify(rig.post("desk", ORDER).exact());
        }
    }

    @Test
    void aFencedEngineAndADrainingDeskRefuse() {
        try (Rig rig = Rig.start()) {
            String fence = "{\"holder\":\"" + rig.incarnation() + "\",\"number\":1000}";
            rig.standinCall(rig.engineA, "POST", "/v1/fence", fence);
            rig.injectFault(rig.bookingService, "\"draining\",\"path\":\"/bookings\"");
            Approvals.verify(rig.post("ask", QUESTION).golden() + "--- desk\n"
                    + rig.post("desk", ORDER).exact());
        }
    }

    @Test
    void aRouterWithoutAConfirmedConfigurationRefuses() {
        try (Rig rig = Rig.startWithoutFleet()) {
            Approvals.verify(rig.post("ask", QUESTION).golden());
        }
    }

    // Guards against a planned shutdown that cuts off a request (property P7) or accepts new work.
    @Test
    void aRouterThatStopsRefusesNewWorkAndFinishesTheOld() {
        try (Rig rig = Rig.start(RigOptions.standard().withBookingDelayMs(1_000))) {
            RawAnswer[] earlierAnswer = new RawAnswer[1];
            Thread first = inBackground(() -> earlierAnswer[0] = rig.post("desk", LONG_ORDER));
            rig.await(() -> rig.executions(rig.bookingService) == 1);
            Thread shutdown = inBackground(rig::drain);
            rig.await(() -> rig.callWithoutCredential("/ready").status() == 503);
            rig.await(() -> rig.operator("status").json().path("draining").asBoolean());
            RawAnswer refused = rig.post("ask", QUESTION);
            join(first);
            join(shutdown);
            assertEquals(201, earlierAnswer[0].status(), earlierAnswer[0].exact());
            Approvals.verify(refused.golden());
        }
    }

    // Guards against a second run or bill of a generation that its caller repeats at another router (property P2).
    @Test
    void aKeyedGenerationThatIsRepeatedThroughAnotherRouterRunsAndIsBilledOnce() {
        try (Rig rig = Rig.start(RigOptions.standard().withRouters(2))) {
            String request = RawHttp.request("POST", "/v1/services/plan", Rig.SHOP_KEY, QUESTION)
                    .replace("Host: router", "Host: router\r\nX-Plan: plan-1");
            RawAnswer first = RawHttp.send(rig.callersPort(), request, chunk -> {});
            RawAnswer second = RawHttp.send(rig.otherCallersPort(), request, chunk -> {});
            assertEquals(first.exact(), second.exact());
            assertEquals(1, rig.executions());
            assertEquals(first.usedTokens(), rig.budget().path("billed_tokens").asLong());
            String other = request.replace("parcel", "letter");
            Approvals.verify(first.exact() + "--- another body\n"
                    + RawHttp.send(rig.otherCallersPort(), other, chunk -> {}).exact());
        }
    }

    private static Thread inBackground(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
