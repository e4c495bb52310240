package io.jayhead.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Explains a request from collected log files, without a connection to a router. */
final class TraceCommand {

    private TraceCommand() {}

    static ExitCode run(Session session) {
        String requestId = session.arguments().requestId(0);
        Path logs = Path.of(session.arguments().operand(1));
        List<LogLine> lines;
        try {
            lines = read(logs);
        } catch (IOException failure) {
            session.console().problem("trace: " + logs + " cannot be read: " + failure.getMessage());
            return ExitCode.INVALID;
        }
        List<LogLine> trace = RequestTrace.of(lines, requestId);
        if (trace.isEmpty()) {
            session.console()
                    .problem("trace: no line is about request " + requestId
                            + "; lines of its kind may have been dropped, see jayhead_log_lines_dropped");
            return ExitCode.FAILED;
        }
        trace.forEach(line -> session.console().print(line.text()));
        session.console().print("cause: " + RequestCause.of(trace.get(trace.size() - 1)));
        return ExitCode.DONE;
    }

    private static List<LogLine> read(Path logs) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files(logs)) {
            try (Stream<String> fileLines = Files.lines(file)) {
                fileLines.forEach(line ->
                        LogLine.parse(file.getFileName().toString(), line).ifPresent(lines::add));
            }
        }
        return lines;
    }

    private static List<Path> files(Path logs) throws IOException {
        if (!Files.isDirectory(logs)) {
            return List.of(logs);
        }
        try (Stream<Path> files = Files.list(logs)) {
            return files.filter(Files::isRegularFile).sorted().toList();
        }
    }
}
