package io.jayhead.daemon.contract;

import io.jayhead.standins.http.StandinServer;
import java.util.Set;
import java.util.function.Consumer;

/** Lists faults of the parts behind a router, with what the caller must see. */
enum FaultCase {
    NO_FAULT(Call.STREAM, rig -> {}, "ok", "ran", 1, Bill.USAGE),
    ENGINE_OVERLOADED(
            Call.ASK, FaultCase::fillEngineA, "overloaded|upstream_refused|no_upstream", "not_run", 0, Bill.NOTHING),
    ENGINE_DRAINING(
            Call.ASK,
            rig -> rig.fault(rig.engineA, "\"draining\",\"duration_ms\":9000"),
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
            Call.PLAN_STREAM, Moment.FIRST_TOKEN, FaultCase::closeUsedEngine, "ok", "ran", 2, Bill.USAGE),
    ENGINE_SILENT_IN_MID_STREAM(
            Call.STREAM, Moment.FIRST_TOKEN, rig -> rig.fault(rig.engineA, "\"silent\""), "ok", "ran", 1, Bill.USAGE),
    ENGINE_DROPS_THE_REPLY(
            Call.ASK,
            rig -> rig.fault(rig.engineA, "\"drop_reply\",\"path\":\"/v1/generate\""),
            "ok",
            "ran",
            1,
            Bill.USAGE),
    ENGINE_DROPS_EVERY_REPLY(
            Call.ASK,
            rig -> rig.fault(rig.engineA, "\"drop_reply\",\"path\":\"/v1/generate\",\"count\":9"),
            "ok|upstream_failed",
            "ran|may_have_run",
            1,
            Bill.SOME),
    DESK_REFUSES(
            Call.BOOK,
            rig -> rig.fault(rig.desk, "\"draining\""),
            "upstream_refused|no_upstream|dependency_not_ready",
            "not_run",
            0,
            Bill.NOTHING),
    PLATFORM_SLOW_FOR_A_GENERATION(
            Call.STREAM, rig -> rig.fault(rig.platform, "\"slow\",\"delay_ms\":300"), "ok", "ran", 1, Bill.USAGE),
    PLATFORM_SLOW_FOR_A_BOOKING(
            Call.BOOK, rig -> rig.fault(rig.platform, "\"slow\",\"delay_ms\":300"), "ok", "ran", 1, Bill.PRICE),
    PLATFORM_DOWN_FOR_A_BOOKING(
            Call.BOOK, FaultCase::platformOutage, "platform_unavailable|budget_exhausted", "not_run", 0, Bill.NOTHING),
    PLATFORM_DOWN_SINCE_JUST_NOW_FOR_A_BOOKING(
            Call.BOOK,
            rig -> rig.fault(rig.platform, "\"outage\""),
            "platform_unavailable|budget_exhausted",
            "not_run",
            0,
            Bill.NOTHING),
    CLAIM_REPLY_LOST(Call.BOOK, rig -> dropWrite(rig, "claim"), "ok", "ran", 1, Bill.PRICE),
    OUTCOME_REPLY_LOST(Call.BOOK, Moment.CLAIMED, rig -> dropWrite(rig, "claim"), "ok", "ran", 1, Bill.PRICE),
    CHARGE_REPLY_LOST(Call.STREAM, rig -> dropWrite(rig, "charge-log"), "ok", "ran", 1, Bill.USAGE),
    BOOKING_CHARGE_REPLY_LOST(Call.BOOK, rig -> dropWrite(rig, "charge-log"), "ok", "ran", 1, Bill.PRICE),
    GRANT_REPLY_LOST(Call.STREAM, rig -> dropWrite(rig, "budget"), "ok", "ran", 1, Bill.USAGE),
    PLATFORM_LIMITS_WRITES(Call.STREAM, FaultCase::useUpWrites, "ok", "ran", 1, Bill.USAGE),
    PLATFORM_LIMITS_WRITES_FOR_A_BOOKING(
            Call.BOOK, FaultCase::useUpWrites, "ok|platform_unavailable", "ran|not_run", -1, Bill.BY_VERDICT),
    ENGINE_DOWN(
            Call.ASK,
            rig -> rig.stop(rig.engineA),
            "upstream_refused|no_upstream|dependency_not_ready",
            "not_run",
            0,
            Bill.NOTHING),
    DESK_DROPS_THE_REPLY(
            Call.BOOK,
            rig -> rig.fault(rig.desk, "\"drop_reply\""),
            "outcome_unknown|upstream_failed",
            "may_have_run",
            1,
            Bill.PRICE),
    DESK_SLOWER_THAN_THE_DEADLINE(
            Call.BOOK, rig -> {}, "outcome_unknown|upstream_failed|deadline_exceeded", "may_have_run", 1, Bill.PRICE);

    /** The request of the caller. */
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

    /** When the fault begins. */
    enum Moment {
        BEFORE,
        CLAIMED,
        FIRST_TOKEN
    }

    /** What must be billed. */
    enum Bill {
        NOTHING,
        USAGE,
        PRICE,
        /** What was delivered up to the worst case, because the engine's count is lost with it. */
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
            return RigOptions.standard().withDeskDelayMs(12_000);
        }
        return this == OUTCOME_REPLY_LOST ? RigOptions.standard().withDeskDelayMs(300) : RigOptions.standard();
    }

    private static void dropWrite(Rig rig, String kind) {
        rig.fault(rig.platform, "\"drop_reply\",\"path\":\"/v1/objects/" + kind + "/\"");
    }

    private static void platformOutage(Rig rig) {
        rig.fault(rig.platform, "\"outage\"");
        rig.await(() -> rig.operator("status").json().path("platform_down").asBoolean());
    }

    private static void fence(Rig rig) {
        String body = "{\"holder\":\"" + rig.incarnation() + "\",\"number\":1000}";
        rig.standinCall(rig.engineA, "POST", "/v1/fence", body);
    }

    /** Occupies both places of the engine with requests of somebody else; they do not count as executions here. */
    private static void fillEngineA(Rig rig) {
        for (int i = 0; i < 2; i++) {
            rig.occupy(rig.engineA, "other-" + i);
        }
    }

    private static void closeUsedEngine(Rig rig) {
        StandinServer used = rig.executions(rig.engineA) > 0 ? rig.engineA : rig.engineB;
        rig.stop(used);
    }

    private static void useUpWrites(Rig rig) {
        for (int i = 0; i < PLATFORM_WRITES; i++) {
            rig.standinCall(rig.platform, "PUT", "/v1/objects/other/" + i, "x");
        }
    }
}
