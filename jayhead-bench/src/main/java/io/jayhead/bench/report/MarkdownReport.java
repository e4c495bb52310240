package io.jayhead.bench.report;

import io.jayhead.bench.measure.Metric;
import io.jayhead.bench.measure.Sample;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Renders samples and their slopes as Markdown tables. */
public final class MarkdownReport {

    private static final String EMPTY_CELL = "";
    private static final double MIN_VALUE_WITHOUT_DECIMALS = 100;

    private MarkdownReport() {}

    /**
     * Renders a report.
     *
     * @param samples the samples, in the order of the rows
     * @return a table of the samples and a table of the slopes of all series with several sizes
     */
    public static String of(List<Sample> samples) {
        return samples(samples) + "\n" + slopes(samples);
    }

    private static String samples(List<Sample> samples) {
        List<String> lines = new ArrayList<>();
        lines.add(row(Stream.concat(
                Stream.of("operation or state", "size", "unit"),
                Stream.of(Metric.values()).map(Metric::label))));
        lines.add("| --- | ---: | --- | ---: | ---: | ---: | ---: |");
        samples.stream().map(MarkdownReport::sample).forEach(lines::add);
        return text(lines);
    }

    private static String sample(Sample sample) {
        Stream<String> values =
                Stream.of(Metric.values()).map(metric -> number(sample.values().get(metric)));
        return row(Stream.concat(
                Stream.of(sample.subject(), Integer.toString(sample.size()), sample.dimension()), values));
    }

    private static String slopes(List<Sample> samples) {
        List<String> lines = new ArrayList<>();
        lines.add(row(Stream.of("operation or state", "quantity", "base", "slope", "per")));
        lines.add("| --- | --- | ---: | ---: | --- |");
        Map<String, List<Sample>> series = samples.stream()
                .collect(Collectors.groupingBy(
                        sample -> sample.subject() + "/" + sample.dimension(),
                        LinkedHashMap::new,
                        Collectors.toList()));
        series.values().stream()
                .filter(seriesSamples ->
                        seriesSamples.stream().map(Sample::size).distinct().count() > 1)
                .flatMap(seriesSamples -> Stream.of(Metric.values()).map(metric -> slope(seriesSamples, metric)))
                .filter(Objects::nonNull)
                .forEach(lines::add);
        return text(lines);
    }

    private static String slope(List<Sample> series, Metric metric) {
        if (!series.stream().allMatch(sample -> sample.values().containsKey(metric))) {
            return null;
        }
        Slope slope = Slope.fit(
                series.stream().map(Sample::size).toList(),
                series.stream().map(sample -> sample.values().get(metric)).toList());
        Sample first = series.get(0);
        return row(Stream.of(
                first.subject(), metric.label(), number(slope.base()), number(slope.perUnit()), first.dimension()));
    }

    private static String number(Double value) {
        if (value == null) {
            return EMPTY_CELL;
        }
        String format = Math.abs(value) < MIN_VALUE_WITHOUT_DECIMALS ? "%.2f" : "%,.0f";
        return String.format(Locale.ROOT, format, value);
    }

    private static String row(Stream<String> cells) {
        return cells.collect(Collectors.joining(" | ", "| ", " |"));
    }

    private static String text(List<String> lines) {
        return String.join("\n", lines) + "\n";
    }
}
