package io.jayhead.load.report;

import io.jayhead.load.audit.Check;
import io.jayhead.load.client.OutcomeType;
import io.jayhead.load.measure.KindMeasures;
import io.jayhead.model.RequestKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders a report as one row of a Markdown table. */
public final class MarkdownRow {

    private MarkdownRow() {}

    /**
     * Returns the header of the table.
     *
     * @return the column names and the delimiter row, two lines that end with line feeds
     */
    public static String header() {
        List<String> names = new ArrayList<>(List.of("experiment", "requests/s", "duration s", "seed", "sent"));
        for (OutcomeType type : OutcomeType.values()) {
            names.add(type.name().toLowerCase(Locale.ROOT));
        }
        names.addAll(List.of(
                "retries whole/sent",
                "first token ms of questions, 50/95/99",
                "between tokens ms, 50/95/99",
                "answer ms, 50/95/99",
                "Jain"));
        for (Check check : Check.values()) {
            names.add(check.text());
        }
        names.add("codes");
        return row(names) + row(names.stream().map(name -> "---").toList());
    }

    /**
     * Returns the row of a report.
     *
     * @param report the report
     * @return one line that ends with a line feed; checks without evidence are shown as {@code -}
     */
    public static String of(RunReport report) {
        KindMeasures total = report.measures().total();
        List<String> cells = new ArrayList<>();
        cells.add(report.mix());
        cells.add(TextReport.format("%.1f", report.ratePerSecond()));
        cells.add(String.valueOf(report.durationS()));
        cells.add(String.valueOf(report.seed()));
        cells.add(String.valueOf(total.sent()));
        for (OutcomeType type : OutcomeType.values()) {
            cells.add(String.valueOf(total.count(type)));
        }
        KindMeasures retries = report.measures().retries();
        cells.add(retries.count(OutcomeType.WHOLE) + "/" + retries.sent());
        cells.add(firstTokenOfQuestions(report));
        cells.add(TextReport.times(total.betweenTokens()));
        cells.add(TextReport.times(total.answer()));
        cells.add(TextReport.format("%.3f", report.measures().fairness()));
        for (Check check : Check.values()) {
            Long count = report.checks().get(check);
            cells.add(count == null ? "-" : count.toString());
        }
        cells.add(total.codes().isEmpty() ? "-" : total.codes().toString());
        return row(cells);
    }

    private static String firstTokenOfQuestions(RunReport report) {
        return report.measures().kinds().stream()
                .filter(kind -> kind.name().equals(RequestKind.INTERACTIVE.configName()))
                .map(kind -> TextReport.times(kind.firstToken()))
                .findFirst()
                .orElse("-");
    }

    private static String row(List<String> cells) {
        return "| " + String.join(" | ", cells) + " |\n";
    }
}
