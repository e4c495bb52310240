package io.jayhead.bench;

import io.jayhead.bench.cases.AllCases;
import io.jayhead.bench.measure.BenchCase;
import io.jayhead.bench.measure.Meter;
import io.jayhead.bench.measure.MeterSettings;
import io.jayhead.bench.measure.Sample;
import io.jayhead.bench.report.MarkdownReport;
import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Prints how processor time, allocation and memory of control work grow with the size of the fleet. */
public final class SlopesMain {

    private static final int EXIT_USAGE = 2;

    private SlopesMain() {}

    /**
     * Measures the selected cases and prints a Markdown report.
     *
     * @param arguments the command line
     * @throws IOException if the usage cannot be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed = parser.accepts("seed", "seed of names and choices")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        OptionSpec<Long> warmUpMs = parser.accepts("warm-up-ms", "processor time before a measurement")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(300L);
        OptionSpec<Long> batchMs = parser.accepts("batch-ms", "processor time of a batch")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(50L);
        OptionSpec<Integer> repeats = parser.accepts("repeats", "number of batches, of which the median counts")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(7);
        OptionSpec<String> only = parser.accepts("only", "measures only subjects that contain this text")
                .withRequiredArg();
        parser.accepts("help", "prints this text").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has("help")) {
                parser.printHelpOn(System.out);
                return;
            }
            Meter meter = new Meter(
                    new MeterSettings(options.valueOf(warmUpMs), options.valueOf(batchMs), options.valueOf(repeats)));
            List<BenchCase> selectedCases = AllCases.of(options.valueOf(seed)).stream()
                    .filter(benchCase -> isSelected(benchCase, options.valuesOf(only)))
                    .toList();
            List<Sample> samples = selectedCases.stream().map(meter::measure).toList();
            System.out.print(MarkdownReport.of(samples));
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println("jayhead-bench: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static boolean isSelected(BenchCase benchCase, List<String> only) {
        return only.isEmpty() || only.stream().anyMatch(benchCase.subject()::contains);
    }
}
