import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the seconds since its start. */
final class Record {

    private static final long START_NS = System.nanoTime();
    private final PrintWriter out;
    private boolean ended;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    synchronized void add(String text) {
        if (!ended) {
            out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
        }
    }

    /** Adds the last line; what the threads of the case still report is left out. */
    synchronized void end(String text) {
        add(text);
        ended = true;
    }
}
