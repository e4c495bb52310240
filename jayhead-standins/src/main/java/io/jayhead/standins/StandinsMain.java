package io.jayhead.standins;

import io.jayhead.standins.http.Standin;
import io.jayhead.standins.http.StandinContext;
import io.jayhead.standins.http.StandinServer;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Runs one stand-in as a process and prints its address once it accepts connections. */
public final class StandinsMain {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String USAGE =
            "usage: jayhead-standins platform|engine|booking [options]; " + "see 'jayhead-standins SUBCOMMAND --help'";

    private StandinsMain() {}

    /**
     * Starts the stand-in that the first argument names.
     *
     * @param arguments the subcommand and its options
     */
    public static void main(String[] arguments) {
        try {
            if (!printHelp(List.of(arguments), System.out)) {
                StandinServer server = start(Runtime.getRuntime()::halt, arguments);
                System.out.println("ready " + server.address());
            }
        } catch (UsageException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (RuntimeException e) {
            System.err.println("error: cannot serve: " + e);
            System.exit(EXIT_FAILED);
        }
    }

    /**
     * Starts a stand-in inside this process.
     *
     * @param exit called with the exit status when the fault {@code die} is injected
     * @param arguments the subcommand and its options, as on the command line
     * @return the server, ready for connections
     * @throws UsageException if the subcommand or an option is missing, unknown or invalid
     */
    public static StandinServer start(IntConsumer exit, String... arguments) {
        if (arguments.length == 0) {
            throw new UsageException(USAGE);
        }
        CommandLine line = new CommandLine();
        Supplier<Function<StandinContext, Standin>> factorySupplier =
                Subcommand.of(arguments[0]).declare(line);
        line.parse(List.of(arguments).subList(1, arguments.length));
        return StandinServer.start(line.port(), factory(factorySupplier), exit);
    }

    private static Function<StandinContext, Standin> factory(
            Supplier<Function<StandinContext, Standin>> factorySupplier) {
        try {
            return factorySupplier.get();
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    private static boolean printHelp(List<String> arguments, PrintStream output) {
        if (!arguments.contains("--help")) {
            return false;
        }
        output.println(USAGE);
        for (Subcommand command : Subcommand.values()) {
            if (arguments.get(0).equals("--help") || arguments.get(0).equals(command.text())) {
                CommandLine line = new CommandLine();
                command.declare(line);
                output.println();
                output.println(command.text() + ":");
                line.printHelp(output);
            }
        }
        return true;
    }
}
