package io.jayhead.load;

import io.jayhead.load.audit.EvidenceSources;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Holds the options of {@code load run}.
 *
 * @param plan the settings of the request plan
 * @param routers the callers addresses of the routers
 * @param credentials the file with the API keys
 * @param evidence the sources of the evidence that is read after the run
 * @param silenceLimitMs the read timeout: the time without a byte after which a caller gives up
 * @param drainMs the maximum time to wait for answers after the last request was sent
 * @param json whether the report is printed as JSON
 */
record RunOptions(
        PlanSettings plan,
        List<String> routers,
        Path credentials,
        EvidenceSources evidence,
        long silenceLimitMs,
        long drainMs,
        boolean json) {

    private static final double DEFAULT_RETRY_SHARE = 0.03;

    /** Parses the arguments of {@code load run}. */
    static RunOptions parse(String... arguments) {
        OptionParser parser = CommandLine.parser();
        OptionSpec<String> routers = CommandLine.list(parser, "routers", "callers addresses of the routers");
        OptionSpec<String> mix = CommandLine.text(parser, "mix", "user1 or user2");
        OptionSpec<Double> rate = CommandLine.decimal(parser, "rate", "requests per second", 10);
        OptionSpec<Long> duration = CommandLine.number(parser, "duration-s", "time during which requests arrive", 30);
        OptionSpec<Long> seed = CommandLine.number(parser, "seed", "seed of arrivals and contents", 1);
        OptionSpec<String> credentials = CommandLine.text(parser, "credentials", "file of API keys");
        OptionSpec<Double> retries =
                CommandLine.decimal(parser, "retry-share", "share sent again with the same key", DEFAULT_RETRY_SHARE);
        OptionSpec<String> operators = CommandLine.list(parser, "operators", "operators address of a router");
        OptionSpec<String> operatorFile =
                CommandLine.list(parser, "operator-credential-file", "file of the operators' credential");
        OptionSpec<String> platform = CommandLine.list(parser, "platform", "address of the platform");
        OptionSpec<String> bookings = CommandLine.list(parser, "booking", "addresses of the booking stand-ins");
        OptionSpec<Long> silence = CommandLine.number(parser, "silence-limit-ms", "time without a byte", 30_000);
        OptionSpec<Long> drain = CommandLine.number(parser, "drain-ms", "wait after the last request", 60_000);
        parser.accepts("json", "writes the report as JSON");
        OptionSet options = CommandLine.parse(parser, arguments);
        List<String> addresses = options.valuesOf(routers);
        if (addresses.isEmpty()) {
            throw new UsageException("missing option --routers");
        }
        PlanSettings plan = new PlanSettings(
                Mix.parse(CommandLine.required(options, mix, "mix")),
                options.valueOf(rate),
                options.valueOf(duration).intValue(),
                options.valueOf(seed),
                addresses.size(),
                options.valueOf(retries));
        EvidenceSources evidence = new EvidenceSources(
                Optional.ofNullable(options.valueOf(operators)),
                CommandLine.readCredential(options.valueOf(operatorFile)),
                Optional.ofNullable(options.valueOf(platform)),
                options.valuesOf(bookings));
        return new RunOptions(
                plan,
                addresses,
                Path.of(CommandLine.required(options, credentials, "credentials")),
                evidence,
                options.valueOf(silence),
                options.valueOf(drain),
                options.has("json"));
    }
}
