package io.jayhead.daemon.contract;

import io.jayhead.standins.http.StandinServer;
import java.util.Set;
import java.util.function.Consumer;

/** Faults of the platform, the engines and the booking service, each with the outcome that the caller must see. */
enum FaultCase {
    NO_FAULT(Call.STREAM, rig -> {}, "ok", "ran", 1, Bill.USAGE),
    ENGINE_OVERLOADED(
            Call.ASK, FaultCase::fillEngineA, "overloaded|upstream_refused|no_upstream", "not_run", 0, Bill.NOTHING),
    ENGINE_DRAINING(
            Call.ASK,
            rig -> rig.injectFault(rig.engineA, "\"draining\",\"duration_ms\":9000"),
            "upstream_refused|no_upstream|dependency_not_ready",
            "not_run",
            0,
            Bill.NOTHING),
    ENGINE_FENCED(Call.ASK, FaultCase::fence, "upstream_refused", "not_run", 0, Bill.NOTHING),
    ENGINE_DOWN_WITH_ANOTHER(Call.PLAN, rig -> rig.stop(rig.engineA), "ok", "ran", 1, Bill.USAGE),
    ENGINE_CUTS_IN_MID_STREAM(
            Call.STREAM,
            Moment.FIRST_TOKEN,
            rig -> rig.stop(rig.engineA),
            "upstream_failed",
            "may_have_run",
            1,
            Bill.SOME),
    ENGINE_CUTS_WITH_ANOTHER(
            Call.PLAN_STREAM, Moment.FIRST_TOKEN, FaultCase::stopUsedEngine, "ok", "ran", 2, Bill.USAGE),
    ENGINE_SILENT_IN_MID_STREAM(
            Call.STREAM,
            Moment.FIRST_TOKEN,
            rig -> rig.injectFault(rig.engineA, "\"silent\""),
            "ok",
            "ran",
            1,
            Bill.USAGE),
    ENGINE_DROPS_THE_REPLY(
            Call.ASK,
            rig -> rig.injectFault(rig.engineA, "\"drop_reply\",\"path\":\"/v1/generate\""),
            "ok",
            "ran",
            1,
            Bill.USAGE),
    ENGINE_DROPS_EVERY_REPLY(
            Call.ASK,
            rig -> rig.injectFault(rig.engineA, "\"drop_reply\",\"path\":\"/v1/generate\",\"count\":9"),
            "ok|upstream_failed",
            "ran|may_have_run",
            1,
            Bill.SOME),
    DESK_REFUSES(
            Call.BOOK,
            rig -> rig.injectFault(rig.bookingService, "\"draining\""),
            "upstream_refused|no_upstream|dependency_not_ready",
            "not_run",
            0,
            Bill.NOTHING),
    PLATFORM_SLOW_FOR_A_GENERATION(
            Call.STREAM, rig -> rig.injectFault(rig.platform, "\"slow\",\"delay_ms\":300"), "ok", "ran", 1, Bill.USAGE),
    PLATFORM_SLOW_FOR_A_BOOKING(
            Call.BOOK, rig -> rig.injectFault(rig.platform, "\"slow\",\"delay_ms\":300"), "ok", "ran", 1, Bill.PRICE),
    PLATFORM_DOWN_FOR_A_BOOKING(
            Call.BOOK,
            FaultCase::startPlatformOutage,
            "platform_unavailable|budget_exhausted",
            "not_run",
            0,
            Bill.NOTHING),
    PLATFORM_DOWN_SINCE_JUST_NOW_FOR_A_BOOKING(
            Call.BOOK,
            rig -> rig.injectFault(rig.platform, "\"outage\""),
            "platform_unavailable|budget_exhausted",
            "not_run",
            0,
            Bill.NOTHING),
    CLAIM_REPLY_LOST(Call.BOOK, rig -> dropWriteReply(rig, "claim"), "ok", "ran", 1, Bill.PRICE),
    OUTCOME_REPLY_LOST(Call.BOOK, Moment.CLAIMED, rig -> dropWriteReply(rig, "claim"), "ok", "ran", 1, Bill.PRICE),
    CHARGE_REPLY_LOST(Call.STREAM, rig -> dropWriteReply(rig, "charge-log"), "ok", "ran", 1, Bill.USAGE),
    BOOKING_CHARGE_REPLY_LOST(Call.BOOK, rig -> dropWriteReply(rig, "charge-log"), "ok", "ran", 1, Bill.PRICE),
    GRANT_REPLY_LOST(Call.STREAM, rig -> dropWriteReply(rig, "budget"), "ok", "ran", 1, Bill.USAGE),
    PLATFORM_LIMITS_WRITES(Call.STREAM, FaultCase::exhaustWrites, "ok", "ran", 1, Bill.USAGE),
    PLATFORM_LIMITS_WRITES_FOR_A_BOOKING(
            Call.BOOK, FaultCase::exhaustWrites, "ok|platform_unavailable", "ran|not_run", -1, Bill.BY_VERDICT),
    ENGINE_DOWN(
            Call.ASK,
            rig -> rig.stop(rig.engineA),
            "upstream_refused|no_upstream|dependency_not_ready",
            "not_run",
            0,
            Bill.NOTHING),
    DESK_DROPS_THE_REPLY(
            Call.BOOK,
            rig -> rig.injectFault(rig.bookingService, "\"drop_reply\""),
            "outcome_unknown|upstream_failed",
            "may_have_run",
            1,
            Bill.PRICE),
    DESK_SLOWER_THAN_THE_DEADLINE(
            Call.BOOK, rig -> {}, "outcome_unknown|upstream_failed|deadline_exceeded", "may_have_run", 1, Bill.PRICE);

    /** The request that the caller sends. */
    enum Call {
        ASK("ask", "{\"prompt\":\"[exact] where is it\",\"max_tokens\":30}"),
        STREAM("ask", "{\"prompt\":\"[exact] where is it\",\"max_tokens\":30,\"stream\":true}"),
        PLAN("plan", "{\"prompt\":\"[exact] plan it\",\"max_tokens\":30}"),
        PLAN_STREAM("plan", "{\"prompt\":\"[exact] plan it\",\"max_tokens\":30,\"stream\":true}"),
        BOOK("desk", "{\"order\":\"order-1\"}");

        final String service;
        final String body;

        Call(String service, String body) {
            this.service = service;
            this.body = body;
        }
    }

    /** The time at which the fault begins. */
    enum Moment {
        BEFORE,
        CLAIMED,
        FIRST_TOKEN
    }

    /** The amount that must be billed. */
    enum Bill {
        NOTHING,
        USAGE,
        PRICE,
        /**
         * At least the delivered tokens and at most the worst case, because the exact count is lost with the engine.
         */
        SOME,
        BY_VERDICT
    }

    private static final int PLATFORM_WRITES = 40;

    final Call call;
    final Moment moment;
    final Consumer<Rig> fault;
    final Set<String> codes;
    final Set<String> verdicts;
    final int executions;
    final Bill bill;

    FaultCase(Call call, Consumer<Rig> fault, String codes, String verdicts, int executions, Bill bill) {
        this(call, Moment.BEFORE, fault, codes, verdicts, executions, bill);
    }

    FaultCase(Call call, Moment moment, Consumer<Rig> fault, String codes, String verdicts, int executions, Bill bill) {
        this.call = call;
        this.moment = moment;
        this.fault = fault;
        this.codes = Set.of(codes.split("\\|"));
        this.verdicts = Set.of(verdicts.split("\\|"));
        this.executions = executions;
        this.bill = bill;
    }

    RigOptions options() {
        if (name().startsWith("PLATFORM_LIMITS")) {
            return RigOptions.standard().withPlatformWritesPerSecond(PLATFORM_WRITES);
        }
        if (this == DESK_SLOWER_THAN_THE_DEADLINE) {
            return RigOptions.standard().withBookingDelayMs(12_000);
        }
        return this == OUTCOME_REPLY_LOST ? RigOptions.standard().withBookingDelayMs(300) : RigOptions.standard();
    }

    private static void dropWriteReply(Rig rig, String kind) {
        rig.injectFault(rig.platform, "\"drop_reply\",\"path\":\"/v1/objects/" + kind + "/\"");
    }

    private static void startPlatformOutage(Rig rig) {
        rig.injectFault(rig.platform, "\"outage\"");
        rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
    }

    private static void fence(Rig rig) {
        String body = "{\"holder\":\"" + rig.incarnation() + "\",\"number\":1000}";
        rig.standinCall(rig.engineA, "POST", "/v1/fence", body);
    }

    /**
     * Fills both batch slots of the engine with requests of another client, which are not counted as executions of the
     * router.
     */
    private static void fillEngineA(Rig rig) {
        for (int i = 0; i < 2; i++) {
            rig.startForeignRequest(rig.engineA, "other-" + i);
        }
    }

    private static void stopUsedEngine(Rig rig) {
        StandinServer used = rig.executions(rig.engineA) > 0 ? rig.engineA : rig.engineB;
        rig.stop(used);
    }

    private static void exhaustWrites(Rig rig) {
        for (int i = 0; i < PLATFORM_WRITES; i++) {
            rig.standinCall(rig.platform, "PUT", "/v1/objects/other/" + i, "x");
        }
    }
}
