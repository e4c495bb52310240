package io.jayhead.standins;

import io.jayhead.standins.booking.BookingOptions;
import io.jayhead.standins.booking.BookingStandin;
import io.jayhead.standins.engine.EngineOptions;
import io.jayhead.standins.engine.EngineStandin;
import io.jayhead.standins.http.Standin;
import io.jayhead.standins.http.StandinContext;
import io.jayhead.standins.platform.PlatformOptions;
import io.jayhead.standins.platform.PlatformStandin;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Supplier;
import joptsimple.OptionSpec;

/** Lists the stand-ins that the program can run, with their options and defaults. */
enum Subcommand {
    PLATFORM {
        @Override
        Supplier<Function<StandinContext, Standin>> declare(CommandLine line) {
            OptionSpec<Integer> writes = line.number("writes-per-second", "accepted writes per second", 400);
            OptionSpec<Integer> reads =
                    line.number("reads-per-second", "accepted reads per second; a watch counts as one", 2000);
            OptionSpec<Integer> lag = line.number("vm-lag-ms", "delay until the VM list shows a change", 2000);
            OptionSpec<Integer> history = line.number("history-entries", "changes kept for watches", 10_000);
            return () -> {
                PlatformOptions options = new PlatformOptions(
                        line.value(writes), line.value(reads), line.value(lag), line.value(history));
                return context -> new PlatformStandin(options, context);
            };
        }
    },
    ENGINE {
        @Override
        Supplier<Function<StandinContext, Standin>> declare(CommandLine line) {
            OptionSpec<String> name = line.text("name", "the engine's name", "engine");
            OptionSpec<String> availabilityZone = line.text("zone", "the availability zone", "az-1");
            OptionSpec<String> models = line.text("models", "comma-separated models; empty for any", "");
            OptionSpec<String> adapters = line.text("adapters", "comma-separated adapters", "");
            OptionSpec<Void> fencing = line.flag("check-fencing", "refuses outdated fencing tokens");
            OptionSpec<Integer> firstToken = line.number("first-token-ms", "time to the first token", 100);
            OptionSpec<Integer> promptToken = line.number("prompt-token-us", "time per uncached prompt token", 200);
            OptionSpec<Integer> token = line.number("token-ms", "time between tokens", 20);
            OptionSpec<Integer> maxBatch = line.number("max-batch", "requests that run concurrently", 16);
            OptionSpec<Integer> maxQueue = line.number("max-queue", "requests that may wait", 64);
            OptionSpec<Integer> cache = line.number("prefix-cache-entries", "cached prefixes", 64);
            OptionSpec<Integer> loadLag = line.number("load-lag-ms", "age of load reports", 500);
            OptionSpec<Integer> cacheLag = line.number("cache-lag-ms", "delay of cache events", 500);
            OptionSpec<Integer> records = line.number("max-records", "ended requests kept", 100_000);
            return () -> {
                EngineOptions options = new EngineOptions(
                        line.value(name),
                        line.value(availabilityZone),
                        line.list(models),
                        line.list(adapters),
                        line.has(fencing),
                        line.value(firstToken),
                        line.value(promptToken),
                        line.value(token),
                        line.value(maxBatch),
                        line.value(maxQueue),
                        line.value(cache),
                        line.value(loadLag),
                        line.value(cacheLag),
                        line.value(records));
                return context -> new EngineStandin(options, context);
            };
        }
    },
    BOOKING {
        @Override
        Supplier<Function<StandinContext, Standin>> declare(CommandLine line) {
            OptionSpec<String> name = line.text("name", "the service's name", "booking");
            OptionSpec<Integer> delay = line.number("delay-ms", "time between execution and answer", 0);
            return () -> {
                BookingOptions options = new BookingOptions(line.value(name), line.value(delay));
                return context -> new BookingStandin(options, context);
            };
        }
    };

    /**
     * Declares the options of the stand-in.
     *
     * @return a supplier that creates the stand-in's factory from the option values; call it only after {@link
     *     CommandLine#parse}
     */
    abstract Supplier<Function<StandinContext, Standin>> declare(CommandLine line);

    static Subcommand of(String text) {
        return Arrays.stream(values())
                .filter(command -> command.text().equals(text))
                .findFirst()
                .orElseThrow(() -> new UsageException("unknown subcommand: " + text));
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
