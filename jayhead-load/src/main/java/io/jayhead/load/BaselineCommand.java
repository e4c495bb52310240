package io.jayhead.load;

import io.jayhead.load.baseline.BaselineComparison;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Compares budget policies without processes. */
final class BaselineCommand {

    private BaselineCommand() {}

    static void run(PrintStream output, String... arguments) {
        OptionParser parser = CommandLine.parser();
        OptionSpec<String> mix = CommandLine.text(parser, "mix", "user1 or user2; both by default");
        OptionSpec<Double> rate = CommandLine.decimal(parser, "rate", "requests per second", 10);
        OptionSpec<Long> duration = CommandLine.number(parser, "duration-s", "virtual duration", 600);
        OptionSpec<Long> seed = CommandLine.number(parser, "seed", "seed of arrivals and contents", 1);
        OptionSet options = CommandLine.parse(parser, arguments);
        for (Mix each : Mix.values()) {
            if (options.has(mix) && Mix.parse(options.valueOf(mix)) != each) {
                continue;
            }
            PlanSettings settings = new PlanSettings(
                    each,
                    options.valueOf(rate),
                    options.valueOf(duration).intValue(),
                    options.valueOf(seed),
                    each.routers(),
                    0);
            output.printf(
                    "%s, %d routers, %.1f requests/s for %d s, seed %d%n%n",
                    each.text(), settings.routers(), settings.ratePerSecond(), settings.durationS(), settings.seed());
            output.println(BaselineComparison.table(BaselineComparison.run(settings)));
        }
    }
}
