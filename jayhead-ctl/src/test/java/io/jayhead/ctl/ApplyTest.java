package io.jayhead.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.ctl.command.ExitCode;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an apply that overwrites a version that the operator has not seen, that writes twice or misreports its
 * outcome after a lost reply, when a router may still report the old version, or that fails although another router
 * would accept the change.
 */
class ApplyTest {

    private final RouterStub first = new RouterStub();
    private final RouterStub second = new RouterStub();

    @AfterEach
    void closeRouters() throws IOException {
        first.close();
        second.close();
    }

    // Guards against a write that does not carry the version that the operator was shown.
    @Test
    void showsTheChangesAndSendsTheVersionThatItRead() {
        first.reads(RouterStub.fleet(7, "a")).writes(RouterStub.json(200, "{\"version\":8,\"state\":\"accepted\"}"));
        CtlRun run = apply();
        assertEquals(ExitCode.DONE, run.code(), run::err);
        assertTrue(run.out().contains("services/plan added"), run::out);
        assertTrue(run.out().contains("version 8 accepted"), run::out);
        assertEquals(7, first.writtenBodies.get(0).path("expected_version").asLong());
        assertEquals(36, first.writtenBodies.get(0).path("change_id").asText().length());
        assertTrue(first.writtenBodies.get(0).path("text").asText().startsWith("fleet: demo"));
        assertEquals("Bearer secret", first.requests.get(0).getHeader("Authorization"));
    }

    // Guards against success reported although the router's answer does not say that the change was accepted.
    @Test
    void failsOnASuccessWithoutAnAcceptedState() {
        first.reads(RouterStub.fleet(7, "a")).writes(RouterStub.json(200, "{\"version\":8}"));
        assertEquals(ExitCode.FAILED, apply().code());
    }

    // Guards against a conflict that a script cannot tell from other failures.
    @Test
    void namesTheWinnerOfAConflict() {
        first.reads(RouterStub.fleet(7, "a"))
                .writes(RouterStub.json(409, "{\"error\":{\"code\":\"conflict\"},\"version\":9}"));
        CtlRun run = apply();
        assertEquals(ExitCode.CONFLICT, run.code());
        assertTrue(run.err().contains("version 9"), run::err);
    }

    // Guards against a text that overwrites a version the operator has not seen.
    @Test
    void writesNothingWhenALaterVersionIsInForce() {
        first.reads(RouterStub.fleet(7, "a"));
        CtlRun run = apply("--expected-version", "6");
        assertEquals(ExitCode.CONFLICT, run.code());
        assertTrue(run.err().contains("version 7 of change a"), run::err);
        assertTrue(first.writtenBodies.isEmpty());
    }

    // Guards against a second write after a lost reply, while a router still reports the old version.
    @Test
    void readsBackAfterALostReply() {
        second.changeSource = first;
        first.reads(RouterStub.fleet(7, "a"), RouterStub.lostReply()).writes(RouterStub.lostReply());
        second.reads(RouterStub.fleet(7, "a"), RouterStub.fleet(8, RouterStub.LAST_CHANGE));
        CtlRun run = apply();
        assertEquals(ExitCode.DONE, run.code(), run::err);
        assertTrue(run.out().contains("version 8 written"), run::out);
        assertEquals(1, first.writtenBodies.size());
        assertTrue(second.writtenBodies.isEmpty());
    }

    // Guards against an apply that hangs on an open connection on which no reply arrives.
    @Test
    void readsBackAfterASilentConnection() {
        first.reads(RouterStub.fleet(7, "a"), RouterStub.fleet(8, RouterStub.LAST_CHANGE))
                .writes(RouterStub.noReply());
        CtlRun run = apply("--timeout-ms", "500");
        assertEquals(ExitCode.DONE, run.code(), run::err);
        assertEquals(1, first.writtenBodies.size());
    }

    // Guards against success reported for another operator's change.
    @Test
    void reportsAConflictWhenTheReadBackShowsAnotherChange() {
        first.reads(RouterStub.fleet(7, "a"), RouterStub.fleet(8, "b"))
                .writes(RouterStub.error(504, "deadline_exceeded", "may_have_run"));
        CtlRun run = apply();
        assertEquals(ExitCode.CONFLICT, run.code());
        assertTrue(run.err().contains("version 8 of change b"), run::err);
    }

    // Guards against a definite conflict reported although the change may have been in force for a while.
    @Test
    void leavesTheOutcomeOpenWhenSeveralVersionsFollowed() {
        first.reads(RouterStub.fleet(7, "a"), RouterStub.fleet(9, "b")).writes(RouterStub.lostReply());
        assertTrue(apply().err().contains("outcome unknown"));
    }

    // Guards against success or a definite failure reported for a write that may still arrive.
    @Test
    void failsWhenTheChangeNeverShows() {
        first.reads(RouterStub.fleet(7, "a")).writes(RouterStub.lostReply());
        CtlRun run = apply();
        assertEquals(ExitCode.FAILED, run.code());
        assertTrue(run.err().contains("outcome unknown"), run::err);
        assertEquals(1, first.writtenBodies.size());
        assertTrue(second.requests.isEmpty());
    }

    // Guards against a fleet that cannot be changed because one of its routers accepts no writes.
    @Test
    void writesThroughTheNextRouterAfterAProvenRefusal() {
        first.reads(RouterStub.fleet(7, "a")).writes(RouterStub.error(503, "shutting_down", "not_run"));
        second.writes(RouterStub.json(200, "{\"version\":8,\"state\":\"accepted\"}"));
        assertEquals(ExitCode.DONE, apply().code());
        assertEquals(first.writtenBodies, second.writtenBodies);
    }

    // Guards against a refused connection that is treated like a lost reply.
    @Test
    void writesThroughTheNextRouterWhenTheFirstIsNotReachable() throws IOException {
        first.close();
        second.reads(RouterStub.fleet(7, "a")).writes(RouterStub.json(200, "{\"version\":8,\"state\":\"accepted\"}"));
        CtlRun run = apply();
        assertEquals(ExitCode.DONE, run.code(), run::err);
        assertEquals(1, second.writtenBodies.size());
    }

    private CtlRun apply(String... options) {
        String[] args = new String[options.length + 6];
        System.arraycopy(options, 0, args, 0, options.length);
        String[] command = {"--router", first.url(), "--router", second.url(), "apply", CtlRun.fleetFile()};
        System.arraycopy(command, 0, args, options.length, command.length);
        return CtlRun.of(args);
    }
}
