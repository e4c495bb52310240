package io.jayhead.daemon.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the command line of the daemon: exit codes, standard output and one-line errors, on which service managers and
 * operators depend. Runs the daemon as a separate process.
 */
class BinaryTest {

    private static final long LIMIT_SECONDS = 30;

    @TempDir
    private Path directory;

    private record Run(int exitCode, String out, String err) {}

    @Test
    void helpNamesTheOptions() throws Exception {
        Run run = run("--help");
        assertEquals(0, run.exitCode(), run.err());
        assertTrue(run.out().startsWith("Usage: jayhead --settings FILE"), run.out());
        assertTrue(run.out().contains("--version"), run.out());
    }

    @Test
    void versionIsOneLine() throws Exception {
        Run run = run("--version");
        assertEquals(0, run.exitCode(), run.err());
        assertTrue(run.out().matches("jayhead \\S+\\R"), run.out());
    }

    // Guards against a router that starts although its settings are invalid.
    @Test
    void aWrongSettingIsOneClearErrorWithExitCode2() throws Exception {
        Path settings =
                Files.writeString(directory.resolve("settings.yaml"), validSettings() + "freshness_limit_ms: 9\n");
        Run run = run("--settings", settings.toString());
        assertEquals(2, run.exitCode(), run.err());
        assertEquals("", run.out());
        assertEquals(1, run.err().lines().count(), run.err());
        assertTrue(run.err().contains("freshness_limit_ms: expected a whole number from 100 to 3000"), run.err());
    }

    @Test
    void validSettingsPassTheCheck() throws Exception {
        Path settings = Files.writeString(directory.resolve("settings.yaml"), validSettings());
        Run run = run("--check", "--settings", settings.toString());
        assertEquals(0, run.exitCode(), run.err());
    }

    @Test
    void wrongUsageIsOneLineWithExitCode2() throws Exception {
        for (List<String> arguments :
                List.of(List.<String>of(), List.of("--nonsense"), List.of("--settings", "missing.yaml"))) {
            Run run = run(arguments.toArray(String[]::new));
            assertEquals(2, run.exitCode(), arguments + run.err());
            assertEquals(1, run.err().lines().count(), run.err());
        }
    }

    private static String validSettings() {
        return """
                vm: vm-1
                availability_zone: az-1
                region: test
                callers_address: 127.0.0.1:18001
                operators_address: 127.0.0.1:18101
                peers_address: 127.0.0.1:18201
                platform_address: http://127.0.0.1:18301
                operator_credential_sha256: %s
                """.formatted("0".repeat(64));
    }

    private Run run(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "io.jayhead.daemon.JayheadMain"));
        command.addAll(List.of(arguments));
        Path out = directory.resolve("out");
        Path err = directory.resolve("err");
        Process process = new ProcessBuilder(command)
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        try {
            assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "the process did not end");
        } finally {
            process.destroyForcibly();
        }
        return new Run(
                process.exitValue(),
                Files.readString(out, StandardCharsets.UTF_8),
                Files.readString(err, StandardCharsets.UTF_8));
    }
}
