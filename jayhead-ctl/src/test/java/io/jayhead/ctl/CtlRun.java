package io.jayhead.ctl;

import io.jayhead.ctl.command.Console;
import io.jayhead.ctl.command.ExitCode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Runs a command line in this process and holds its exit code and output. */
record CtlRun(ExitCode code, String out, String err) {

    static CtlRun of(String... args) {
        return of(Map.of("JAYHEAD_CREDENTIAL", "secret"), args);
    }

    static CtlRun of(Map<String, String> environment, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = new Jayheadctl(console, environment).run(args);
        return new CtlRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    static String fleetFile() {
        try {
            return Path.of(CtlRun.class.getResource("fleet.yaml").toURI()).toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
