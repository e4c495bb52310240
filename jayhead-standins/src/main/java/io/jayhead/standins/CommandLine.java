package io.jayhead.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Declares and parses the command-line options of one subcommand. Call {@link #parse} before any value is read. */
final class CommandLine {

    private static final int MAX_PORT = 65_535;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Integer> port;
    private OptionSet options;

    CommandLine() {
        parser.recognizeAlternativeLongOptions(false);
        port = number("port", "the port on 127.0.0.1, or 0 for any free port", 0);
        parser.accepts("help", "prints this text").forHelp();
    }

    OptionSpec<Integer> number(String name, String description, int defaultValue) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    OptionSpec<String> text(String name, String description, String defaultValue) {
        return parser.accepts(name, description).withRequiredArg().defaultsTo(defaultValue);
    }

    OptionSpec<Void> flag(String name, String description) {
        return parser.accepts(name, description);
    }

    /**
     * Parses the arguments that follow the subcommand.
     *
     * @throws UsageException if an option is unknown or malformed, an argument is no option or the port is out of range
     */
    void parse(List<String> arguments) {
        try {
            options = parser.parse(arguments.toArray(String[]::new));
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
        if (!options.nonOptionArguments().isEmpty()) {
            throw new UsageException(
                    "unexpected argument: " + options.nonOptionArguments().get(0));
        }
        int portNumber = port();
        if (portNumber < 0 || portNumber > MAX_PORT) {
            throw new UsageException("port must be from 0 to 65535: " + portNumber);
        }
    }

    int port() {
        return value(port);
    }

    boolean has(OptionSpec<Void> flag) {
        return options.has(flag);
    }

    <T> T value(OptionSpec<T> option) {
        try {
            return options.valueOf(option);
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
    }

    /** Returns the stripped parts of a comma-separated value, without empty ones. */
    List<String> list(OptionSpec<String> option) {
        return Arrays.stream(value(option).split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    void printHelp(PrintStream output) {
        try {
            parser.printHelpOn(output);
        } catch (IOException e) {
            throw new IllegalStateException("cannot print the usage", e);
        }
    }
}
