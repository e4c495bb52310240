package io.jayhead.load;

import io.jayhead.load.experiment.Experiment;
import io.jayhead.load.experiment.ExperimentSettings;
import io.jayhead.load.experiment.Fault;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.report.MarkdownRow;
import io.jayhead.load.report.RunReport;
import io.jayhead.load.report.TextReport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs one experiment and appends its report as a row to a Markdown table. */
final class ExperimentCommand {

    private static final long TIME_LIMIT_MS = 60_000;
    private static final int EXIT_TIMED_OUT = 1;
    private static final String DAEMON_CLASS_PATH = "jayhead-daemon/target/*:jayhead-daemon/target/lib/*";

    private ExperimentCommand() {}

    static void run(String... arguments) throws InterruptedException {
        OptionParser parser = CommandLine.parser();
        OptionSpec<String> name = CommandLine.text(parser, "name", "mix and fault, such as user1-router-killed");
        OptionSpec<String> out = CommandLine.text(parser, "out", "file that the row is appended to");
        OptionSpec<Double> rate = CommandLine.decimal(parser, "rate", "requests per second", 8);
        OptionSpec<Long> duration = CommandLine.number(parser, "duration-s", "time during which requests arrive", 21);
        OptionSpec<Long> seed = CommandLine.number(parser, "seed", "seed of arrivals and contents", 1);
        OptionSpec<Double> retries = CommandLine.decimal(parser, "retry-share", "share sent again", 0.1);
        OptionSpec<Double> budget =
                CommandLine.decimal(parser, "budget-share", "top-ups as a share of the worst-case demand", 1);
        OptionSpec<String> classPath =
                CommandLine.text(parser, "daemon-class-path", "class path of routers; default: the build of this tree");
        OptionSet options = CommandLine.parse(parser, arguments);
        String[] parts = CommandLine.required(options, name, "name").split("-", 2);
        Path file = Path.of(CommandLine.required(options, out, "out"));
        ExperimentSettings settings = new ExperimentSettings(
                Mix.parse(parts[0]),
                Fault.parse(parts.length == 2 ? parts[1] : ""),
                options.valueOf(rate),
                options.valueOf(duration).intValue(),
                options.valueOf(seed),
                options.valueOf(retries),
                options.valueOf(budget),
                options.has(classPath) ? options.valueOf(classPath) : DAEMON_CLASS_PATH,
                directory());
        System.err.println("settings and logs of the processes: " + settings.directory());
        startWatchdog();
        RunReport report = new Experiment(settings).run();
        System.out.print(TextReport.of(report));
        append(file, MarkdownRow.of(report));
    }

    /** Exits the JVM if an experiment hangs. The shutdown hook then kills the child processes. */
    private static void startWatchdog() {
        Thread watchdog = new Thread(
                () -> {
                    try {
                        Thread.sleep(TIME_LIMIT_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    System.err.println("error: the experiment took longer than " + TIME_LIMIT_MS + " ms");
                    System.exit(EXIT_TIMED_OUT);
                },
                "time-limit");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private static Path directory() {
        try {
            return Files.createTempDirectory("jayhead-experiment-");
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a directory for logs", e);
        }
    }

    private static void append(Path file, String row) {
        try {
            String header = Files.exists(file) ? "" : MarkdownRow.header();
            Files.writeString(file, header + row, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
    }
}
