package io.jayhead.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jayhead.ctl.command.ExitCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a trace that misleads because it lacks a line that decided the request, or shows a line of another
 * router or organisation. Also guards against an unknown request or missing logs that look like success to a script.
 */
class TraceTest {

    private static final String LOG = """
            1.0 vm-1 {"kind":"dependency","event":"platform lost","fault":"UNANSWERED"}
            1.1 vm-2 {"kind":"state","event":"configuration in force","version":9}
            1.2 vm-1 {"kind":"state","event":"configuration in force","version":8}
            1.3 vm-1 {"kind":"budget","event":"loan","organisation":"other","received":5}
            1.4 vm-1 {"kind":"budget","event":"loan","organisation":"shop","received":0}
            1.5 vm-1 {"kind":"failed","event":"BUDGET_UNAVAILABLE","request_id":"r1","organisation":"shop"}
            1.6 vm-1 not json {at all
            1.7 vm-1 {"kind":"served","event":"served","request_id":"r2","organisation":"shop"}
            """;

    @TempDir
    private Path directory;

    @Test
    void showsTheLinesThatDecidedARequestAndItsCause() throws IOException {
        Path file = Files.writeString(directory.resolve("vm-1.log"), LOG);
        CtlRun run = CtlRun.of(Map.of(), "trace", "r1", file.toString());
        assertEquals(ExitCode.DONE, run.code(), run::err);
        assertTrue(run.out().contains("platform lost"), run::out);
        assertTrue(run.out().contains("\"version\":8"), run::out);
        assertFalse(run.out().contains("\"version\":9"), "a line of another router");
        assertFalse(run.out().contains("\"other\""), "a line of another organisation");
        assertTrue(run.out().contains("cause: the ledger did not answer"), run::out);
    }

    @Test
    void readsAllFilesOfADirectory() throws IOException {
        Files.writeString(directory.resolve("vm-1.log"), LOG);
        CtlRun run = CtlRun.of(Map.of(), "trace", "r2", directory.toString());
        assertTrue(run.out().contains("cause: the upstream's whole answer"), run::out);
    }

    @Test
    void saysWhenNoLineIsAboutTheRequestOrTheLogsAreMissing() throws IOException {
        Path file = Files.writeString(directory.resolve("vm-1.log"), LOG);
        assertEquals(
                ExitCode.FAILED,
                CtlRun.of(Map.of(), "trace", "r9", file.toString()).code());
        assertEquals(
                ExitCode.INVALID,
                CtlRun.of(Map.of(), "trace", "r1", directory.resolve("none").toString())
                        .code());
    }
}
