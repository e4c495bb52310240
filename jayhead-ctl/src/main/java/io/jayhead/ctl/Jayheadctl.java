package io.jayhead.ctl;

import io.jayhead.ctl.command.Command;
import io.jayhead.ctl.command.Console;
import io.jayhead.ctl.command.ExitCode;
import io.jayhead.ctl.command.Session;
import io.jayhead.ctl.command.UsageException;
import io.jayhead.ctl.router.RouterClient;
import io.jayhead.ctl.router.RouterGroup;
import java.util.Map;

/** Parses command lines and runs their commands. */
public final class Jayheadctl {

    private static final String UNPACKAGED_VERSION = "development";

    private final Console console;
    private final Map<String, String> environment;

    /**
     * Creates a runner.
     *
     * @param console receives the output
     * @param environment the environment variables
     */
    public Jayheadctl(Console console, Map<String, String> environment) {
        this.console = console;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Runs a command line.
     *
     * @param args the command line arguments
     * @return the exit code
     */
    public ExitCode run(String... args) {
        try {
            return run(CommandLine.parse(args));
        } catch (UsageException e) {
            console.problem(e.getMessage());
            return ExitCode.INVALID;
        }
    }

    private ExitCode run(CommandLine commandLine) {
        if (commandLine.isHelp()) {
            CommandLine.printHelp(console.out());
            return ExitCode.DONE;
        }
        if (commandLine.isVersion()) {
            console.print("jayheadctl " + version());
            return ExitCode.DONE;
        }
        Command command = commandLine.command();
        return command.run(new Session(commandLine.arguments(), console, () -> connect(commandLine)));
    }

    private RouterGroup connect(CommandLine commandLine) {
        String credential = Credential.read(commandLine.credentialFile(), environment);
        return new RouterGroup(new RouterClient(credential, commandLine.timeout()), commandLine.routers());
    }

    private static String version() {
        String version = Jayheadctl.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKAGED_VERSION : version;
    }
}
