package io.jayhead.daemon;

import io.jayhead.config.fleet.ConfigProblem;
import io.jayhead.config.settings.DaemonSettings;
import io.jayhead.config.settings.SettingsParser;
import io.jayhead.model.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import sun.misc.Signal;

/** Runs the command {@code jayhead}, which starts one router. */
public final class JayheadMain {

    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    /** EX_TEMPFAIL of sysexits.h: tells the supervisor to start the router again. */
    private static final int EXIT_RESTART = 75;

    private static final long RESTART_CHECK_PERIOD_MS = 500;
    private static final Logger ROOT_LOGGER = Logger.getLogger("");

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> settingsFile = parser.accepts("settings", "file with the settings in YAML")
            .withRequiredArg()
            .describedAs("FILE");
    private final OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
    private final OptionSpec<Void> help =
            parser.accepts("help", "print this help").forHelp();
    private final OptionSpec<Void> version =
            parser.accepts("version", "print the version").forHelp();
    private final PrintStream out;
    private final PrintStream err;

    private JayheadMain(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the router until it receives SIGTERM or SIGINT or must be restarted.
     *
     * @param arguments the command-line arguments
     * @throws Exception if standard output cannot be written or the main thread is interrupted
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(new JayheadMain(System.out, System.err).run(arguments));
    }

    private int run(String... arguments) throws IOException, InterruptedException {
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException e) {
            err.println("jayhead: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (options.has(help)) {
            out.println("Usage: jayhead --settings FILE");
            parser.printHelpOn(out);
            return EXIT_SUCCESS;
        }
        if (options.has(version)) {
            out.println("jayhead " + programVersion());
            return EXIT_SUCCESS;
        }
        if (!options.has(settingsFile)) {
            err.println("jayhead: --settings FILE is required");
            return EXIT_USAGE;
        }
        Either<String, DaemonSettings> settings = readSettings(Path.of(options.valueOf(settingsFile)));
        if (!settings.isRight()) {
            err.println("jayhead: " + settings.getLeft());
            return EXIT_USAGE;
        }
        return options.has(check) ? EXIT_SUCCESS : serve(settings.get());
    }

    private int serve(DaemonSettings settings) throws InterruptedException {
        configureLogging(settings.logLevel().level());
        CountDownLatch stop = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> stop.countDown());
        Signal.handle(new Signal("INT"), signal -> stop.countDown());
        Daemon daemon = new Daemon(settings);
        try {
            daemon.start();
        } catch (RuntimeException e) {
            err.println("jayhead: cannot start: " + e.getMessage());
            return EXIT_FAILURE;
        }
        out.println("ready callers=" + hostAndPort(settings.callersAddress()) + " operators="
                + hostAndPort(settings.operatorsAddress()) + " peers=" + hostAndPort(settings.peersAddress()));
        out.flush();
        while (!stop.await(RESTART_CHECK_PERIOD_MS, TimeUnit.MILLISECONDS) && !daemon.needsRestart()) {
            // Keeps serving until a stop signal arrives or a grant of this router is reclaimed.
        }
        daemon.drain();
        daemon.close();
        return daemon.needsRestart() ? EXIT_RESTART : EXIT_SUCCESS;
    }

    private static Either<String, DaemonSettings> readSettings(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            return Either.left("cannot read " + file + ": " + e);
        }
        return SettingsParser.parse(text).fold(problems -> Either.left(describe(file, problems)), Either::right);
    }

    private static String describe(Path file, List<ConfigProblem> problems) {
        return file + ": "
                + problems.stream().map(ConfigProblem::toString).collect(java.util.stream.Collectors.joining("; "));
    }

    private static void configureLogging(Level level) {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %3$s %5$s%6$s%n");
        ROOT_LOGGER.setLevel(level);
        for (var handler : ROOT_LOGGER.getHandlers()) {
            handler.setLevel(level);
        }
    }

    private static String programVersion() {
        String implementationVersion = JayheadMain.class.getPackage().getImplementationVersion();
        return implementationVersion == null ? "development" : implementationVersion;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
