package io.jayhead.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Selects the log lines that explain a request: its own, and the latest earlier ones that influenced its outcome. */
final class RequestTrace {

    private RequestTrace() {}

    /**
     * Selects the lines that explain a request. Apart from its own, these are lines of the same router: before the
     * request's first line, the latest ones about a dependency, the configuration and the registry; before its last
     * line, the latest one about a budget of the organisation.
     *
     * @param lines all lines; those of the same router must be in the order in which they were written
     * @param requestId the id of the request
     * @return the selected lines in the order of {@code lines}; empty if no line is about the request
     */
    static List<LogLine> of(List<LogLine> lines, String requestId) {
        List<LogLine> requestLines =
                lines.stream().filter(line -> line.isAbout(requestId)).toList();
        if (requestLines.isEmpty()) {
            return List.of();
        }
        LogLine lastLine = requestLines.get(requestLines.size() - 1);
        int firstIndex = lines.indexOf(requestLines.get(0));
        int lastIndex = lines.lastIndexOf(lastLine);
        String organisation = lastLine.field("organisation");
        List<LogLine> trace = new ArrayList<>();
        lastBefore(lines, firstIndex, lastLine, line -> line.field("kind").equals("dependency"))
                .ifPresent(trace::add);
        lastBefore(lines, firstIndex, lastLine, line -> line.field("event").equals("configuration in force"))
                .ifPresent(trace::add);
        lastBefore(lines, firstIndex, lastLine, line -> line.field("event").equals("registry in force"))
                .ifPresent(trace::add);
        lastBefore(lines, lastIndex, lastLine, line -> isBudgetLine(line, organisation))
                .ifPresent(trace::add);
        trace.addAll(requestLines);
        trace.sort((first, second) -> Integer.compare(lines.indexOf(first), lines.indexOf(second)));
        return trace;
    }

    private static boolean isBudgetLine(LogLine line, String organisation) {
        boolean isSameOrganisation = line.field("organisation").equals(organisation) && !organisation.isEmpty();
        return line.field("kind").equals("budget") && isSameOrganisation;
    }

    private static Optional<LogLine> lastBefore(
            List<LogLine> lines, int index, LogLine requestLine, Predicate<LogLine> condition) {
        for (int earlier = index - 1; earlier >= 0; earlier--) {
            LogLine line = lines.get(earlier);
            if (line.source().equals(requestLine.source()) && condition.test(line)) {
                return Optional.of(line);
            }
        }
        return Optional.empty();
    }
}
