package io.jayhead.load;

import io.jayhead.load.baseline.BaselineComparison;
import io.jayhead.load.plan.Mix;
import io.jayhead.load.plan.PlanSettings;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Compares budget policies by simulation, without processes. */
final class BaselineCommand {

    private BaselineCommand() {}

    static void run(PrintStream output, String... arguments) {
        OptionParser parser = CommandLine.parser();
        OptionSpec<String> mix = CommandLine.text(parser, "mix", "user1 or user2; both by default");
        OptionSpec<Double> rate = CommandLine.decimal(parser, "rate", "requests per second", 10);
        OptionSpec<Long> duration = CommandLine.number(parser, "duration-s", "virtual duration", 600);
        OptionSpec<Long> seed = CommandLine.number(parser, "seed", "seed of arrivals and contents", 1);
        OptionSet options = CommandLine.parse(parser, arguments);
        for (Mix selectedMix : Mix.values()) {
            if (options.has(mix) && Mix.parse(options.valueOf(mix)) != selectedMix) {
                continue;
            }
            PlanSettings settings = new PlanSettings(
                    selectedMix,
                    options.valueOf(rate),
                    options.valueOf(duration).intValue(),
                    options.valueOf(seed),
                    selectedMix.routers(),
                    0);
            output.printf(
                    "%s, %d routers, %.1f requests/s for %d s, seed %d%n%n",
                    selectedMix.text(),
                    settings.routers(),
                    settings.ratePerSecond(),
                    settings.durationS(),
                    settings.seed());
            output.println(BaselineComparison.table(BaselineComparison.run(settings)));
        }
    }
}
