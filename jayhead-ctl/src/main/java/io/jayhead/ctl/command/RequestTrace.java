package io.jayhead.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Finds the log lines that explain one request: its own, and the last ones before it that decided it. */
final class RequestTrace {

    private RequestTrace() {}

    /**
     * Finds the lines.
     *
     * @param lines all lines, those of one router in their order
     * @param requestId the request
     * @return the lines that explain it, in their order; empty if none is about the request
     */
    static List<LogLine> of(List<LogLine> lines, String requestId) {
        List<LogLine> own =
                lines.stream().filter(line -> line.isAbout(requestId)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        LogLine last = own.get(own.size() - 1);
        int firstIndex = lines.indexOf(own.get(0));
        int lastIndex = lines.lastIndexOf(last);
        String organisation = last.field("organisation");
        List<LogLine> found = new ArrayList<>();
        lastBefore(lines, firstIndex, last, line -> line.field("kind").equals("dependency"))
                .ifPresent(found::add);
        lastBefore(lines, firstIndex, last, line -> line.field("event").equals("configuration in force"))
                .ifPresent(found::add);
        lastBefore(lines, firstIndex, last, line -> line.field("event").equals("registry in force"))
                .ifPresent(found::add);
        lastBefore(lines, lastIndex, last, line -> isBudget(line, organisation)).ifPresent(found::add);
        found.addAll(own);
        found.sort((one, other) -> Integer.compare(lines.indexOf(one), lines.indexOf(other)));
        return found;
    }

    private static boolean isBudget(LogLine line, String organisation) {
        boolean isSame = line.field("organisation").equals(organisation) && !organisation.isEmpty();
        return line.field("kind").equals("budget") && isSame;
    }

    private static Optional<LogLine> lastBefore(
            List<LogLine> lines, int index, LogLine request, Predicate<LogLine> which) {
        for (int before = index - 1; before >= 0; before--) {
            LogLine line = lines.get(before);
            if (line.source().equals(request.source()) && which.test(line)) {
                return Optional.of(line);
            }
        }
        return Optional.empty();
    }
}
