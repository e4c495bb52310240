package io.jayhead.ctl;

import io.jayhead.ctl.command.Arguments;
import io.jayhead.ctl.command.Command;
import io.jayhead.ctl.command.UsageException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.HttpUrl;

/** Defines the options of the command line and parses its arguments. */
final class CommandLine {

    /** Long enough for an apply, whose answer waits for the other routers to adopt the new version. */
    private static final long DEFAULT_TIMEOUT_MS = 15_000;

    private static final long MAX_TIMEOUT_MS = 600_000;

    /** Options that only some commands accept. */
    private static final Set<String> COMMAND_OPTIONS = Set.of("expected-version", "id", "json");

    private final OptionParser parser = new OptionParser(false);
    private final OptionSpec<String> router = parser.accepts("router", "address of a router; may be repeated")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .describedAs("URL");
    private final OptionSpec<String> credentialFile = parser.accepts(
                    "credential-file",
                    "file with the credential of operators; else the environment variable " + Credential.VARIABLE)
            .withRequiredArg()
            .describedAs("FILE");
    private final OptionSpec<Long> timeout = parser.accepts("timeout-ms", "longest time of one request")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(DEFAULT_TIMEOUT_MS);
    private final OptionSpec<Long> expectedVersion = parser.accepts(
                    "expected-version", "apply: the version to replace; else the one in force")
            .withRequiredArg()
            .ofType(Long.class);
    private final OptionSpec<String> id = parser.accepts("id", "topup: id that makes repeated top-ups count once")
            .withRequiredArg();
    private final OptionSpec<Void> json = parser.accepts("json", "status, budget, explain: print JSON");
    private final OptionSpec<Void> help = parser.accepts("help", "print this help");
    private final OptionSpec<Void> version = parser.accepts("version", "print the version");
    private final OptionSet options;

    private CommandLine(String... args) {
        try {
            options = parser.parse(args);
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
    }

    static CommandLine parse(String... args) {
        return new CommandLine(args);
    }

    boolean isHelp() {
        return options.has(help);
    }

    boolean isVersion() {
        return options.has(version);
    }

    Command command() {
        if (nonOptionArguments().isEmpty()) {
            throw new UsageException("no command; see --help");
        }
        Command command = Command.parse(nonOptionArguments().get(0))
                .orElseThrow(() -> new UsageException(
                        "unknown command " + nonOptionArguments().get(0) + "; see --help"));
        if (nonOptionArguments().size() != command.operandCount() + 1) {
            throw new UsageException("usage: jayheadctl [OPTIONS] " + command.usage());
        }
        COMMAND_OPTIONS.stream()
                .filter(option -> options.has(option) && !command.options().contains(option))
                .findFirst()
                .ifPresent(option -> {
                    throw new UsageException("--" + option + " does not apply to " + command.commandName());
                });
        return command;
    }

    Arguments arguments() {
        OptionalLong versionToReplace = options.has(expectedVersion)
                ? OptionalLong.of(numberInRange(expectedVersion, 0, Long.MAX_VALUE))
                : OptionalLong.empty();
        return new Arguments(
                nonOptionArguments().subList(1, nonOptionArguments().size()),
                versionToReplace,
                Optional.ofNullable(value(id)),
                options.has(json));
    }

    List<HttpUrl> routers() {
        List<HttpUrl> urls =
                options.valuesOf(router).stream().map(CommandLine::routerUrl).toList();
        if (urls.isEmpty()) {
            throw new UsageException("this command needs --router URL");
        }
        return urls;
    }

    Optional<Path> credentialFile() {
        return Optional.ofNullable(value(credentialFile)).map(Path::of);
    }

    Duration timeout() {
        return Duration.ofMillis(numberInRange(timeout, 1, MAX_TIMEOUT_MS));
    }

    static void printHelp(PrintStream out) {
        out.println("usage: jayheadctl --router URL --credential-file FILE COMMAND");
        out.println();
        Stream.of(Command.values()).forEach(command -> out.println("  " + command.usage()));
        out.println();
        StringWriter text = new StringWriter();
        try {
            new CommandLine().parser.printHelpOn(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.print(text);
        out.println();
        out.println("Exit codes: 0 done, 1 refused or failed, 2 wrong usage or invalid input, 3 conflict.");
    }

    private List<String> nonOptionArguments() {
        return options.nonOptionArguments().stream().map(String::valueOf).toList();
    }

    private long numberInRange(OptionSpec<Long> option, long min, long max) {
        long value = value(option);
        if (value < min || value > max) {
            throw new UsageException("--" + option.options().get(0) + ": expected a number from " + min + " to " + max);
        }
        return value;
    }

    private <T> T value(OptionSpec<T> option) {
        try {
            return options.valueOf(option);
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
    }

    /** Parses the address of a router. Rejects user names and passwords, as credentials must not be arguments. */
    private static HttpUrl routerUrl(String text) {
        HttpUrl url = HttpUrl.parse(text);
        boolean hostAndPortOnly = url != null
                && url.encodedUsername().isEmpty()
                && url.encodedPassword().isEmpty()
                && url.encodedPath().equals("/")
                && url.query() == null
                && url.fragment() == null;
        if (!hostAndPortOnly) {
            throw new UsageException("--router: expected an address such as http://127.0.0.1:8101");
        }
        return url;
    }
}
