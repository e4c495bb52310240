package io.jayhead.load.report;

import io.jayhead.load.audit.Check;
import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.measure.KindMeasures;
import io.jayhead.load.measure.Percentiles;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Renders a report as text tables. The columns of counts after {@code sent} are the values of {@link OutcomeType}. */
public final class TextReport {

    private static final String COUNT_FORMAT = "%-16s %6s %6s %6s %8s %7s %13s %12s %11s%n";
    private static final String TIME_FORMAT = "%-16s %26s %26s %26s%n";

    private TextReport() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return lines that end with line feeds; a check without a count is shown as {@code not measured}
     */
    public static String of(RunReport report) {
        StringBuilder out = new StringBuilder();
        out.append(format(
                "mix %s, %.1f requests/s for %d s, seed %d%n%n",
                report.mix(), report.ratePerSecond(), report.durationS(), report.seed()));
        out.append(format(
                COUNT_FORMAT,
                "kind",
                "sent",
                "whole",
                "wrong",
                "refused",
                "broken",
                "may_have_run",
                "unreachable",
                "unfinished"));
        rows(report).map(TextReport::counts).forEach(out::append);
        out.append(format("%n" + TIME_FORMAT, "p50/p95/p99 ms", "first token", "between tokens", "whole answer"));
        rows(report).map(TextReport::times).forEach(out::append);
        out.append(codes(report));
        out.append(format("%nfairness (Jain) %.3f%n", report.measures().fairness()));
        for (Check check : Check.values()) {
            Long count = report.checks().get(check);
            out.append(format("%-24s %s%n", check.text(), count == null ? "not measured" : count.toString()));
        }
        return out.toString();
    }

    private static Stream<KindMeasures> rows(RunReport report) {
        return Stream.concat(
                report.measures().kinds().stream(),
                Stream.of(report.measures().total(), report.measures().retries()));
    }

    private static String counts(KindMeasures row) {
        return format(
                COUNT_FORMAT,
                row.name(),
                row.sent(),
                row.count(OutcomeType.WHOLE),
                row.count(OutcomeType.WRONG),
                row.count(OutcomeType.REFUSED),
                row.count(OutcomeType.BROKEN),
                row.count(OutcomeType.MAY_HAVE_RUN),
                row.count(OutcomeType.UNREACHABLE),
                row.count(OutcomeType.UNFINISHED));
    }

    private static String times(KindMeasures row) {
        return format(
                TIME_FORMAT, row.name(), times(row.firstToken()), times(row.betweenTokens()), times(row.answer()));
    }

    private static String codes(RunReport report) {
        String codes = rows(report)
                .filter(row -> !row.codes().isEmpty())
                .map(row -> format("%-16s %s%n", row.name(), row.codes()))
                .collect(Collectors.joining());
        return codes.isEmpty() ? "" : format("%ncodes%n") + codes;
    }

    static String times(Percentiles times) {
        return times.count() == 0 ? "-" : format("%.1f/%.1f/%.1f", times.p50Ms(), times.p95Ms(), times.p99Ms());
    }

    static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format.replace("%n", "\n"), values);
    }
}
