package io.jayhead.config.yaml;

import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.AliasEvent;
import org.yaml.snakeyaml.events.CollectionEndEvent;
import org.yaml.snakeyaml.events.CollectionStartEvent;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.reader.ReaderException;

/** Parses a YAML text into a tree of sections and values. Rejects aliases and limits size and nesting. */
public final class YamlText {

    /** The platform stores values of up to 1 MB; the difference is left for the envelope and for JSON escapes. */
    public static final int MAX_BYTES = 900_000;

    /** No valid text is nested this deeply, and each level uses stack in SnakeYAML's recursive composer. */
    private static final int MAX_DEPTH = 16;

    private static final String WHOLE_TEXT = "text";

    /** Matches SnakeYAML's messages about an unexpected token. */
    private static final Pattern MISMATCH = Pattern.compile("expected (?<expected>.*), but found (?<found>.*)");

    private YamlText() {}

    /**
     * Parses a text whose root is a mapping.
     *
     * @param text the text
     * @param problems receives one problem if the text as a whole is rejected, otherwise those of individual keys
     * @return the root section, or empty if the text as a whole is rejected
     */
    public static Optional<YamlSection> read(String text, ProblemSink problems) {
        int sizeBytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (sizeBytes > MAX_BYTES) {
            problems.report(1, WHOLE_TEXT, "at most " + MAX_BYTES + " bytes", sizeBytes + " bytes");
            return Optional.empty();
        }
        try {
            return hasAllowedStructure(text, problems) ? compose(text, problems) : Optional.empty();
        } catch (ReaderException e) {
            int codePoint = e.getCodePoint();
            problems.report(
                    lineOf(text, e.getPosition()),
                    WHOLE_TEXT,
                    "printable characters",
                    String.format("character U+%04X", codePoint));
        } catch (MarkedYAMLException e) {
            reportSyntax(e, problems);
        } catch (YAMLException e) {
            problems.report(1, WHOLE_TEXT, "valid YAML", firstLine(e));
        }
        return Optional.empty();
    }

    private static void reportSyntax(MarkedYAMLException exception, ProblemSink problems) {
        int line = lineOf(exception.getProblemMark());
        String problem = String.valueOf(exception.getProblem()).replace('\n', ' ');
        Matcher mismatch = MISMATCH.matcher(problem);
        if (mismatch.matches()) {
            problems.report(line, WHOLE_TEXT, mismatch.group("expected"), mismatch.group("found"));
            return;
        }
        problems.report(line, WHOLE_TEXT, "valid YAML", problem.replaceFirst("^found ", ""));
    }

    private static boolean hasAllowedStructure(String text, ProblemSink problems) {
        int depth = 0;
        for (Event event : yaml().parse(new StringReader(text))) {
            if (event instanceof AliasEvent alias) {
                problems.report(lineOf(event.getStartMark()), WHOLE_TEXT, "no aliases", "*" + alias.getAnchor());
                return false;
            }
            if (event instanceof CollectionStartEvent) {
                depth++;
            }
            if (event instanceof CollectionEndEvent) {
                depth--;
            }
            if (depth > MAX_DEPTH) {
                problems.report(
                        lineOf(event.getStartMark()), WHOLE_TEXT, "at most " + MAX_DEPTH + " levels", "deeper nesting");
                return false;
            }
        }
        return true;
    }

    private static Optional<YamlSection> compose(String text, ProblemSink problems) {
        Node root = yaml().compose(new StringReader(text));
        if (root instanceof MappingNode mapping) {
            return Optional.of(YamlSection.of(mapping, "", problems));
        }
        problems.report(1, WHOLE_TEXT, "a mapping", root == null ? "nothing" : "a " + root.getNodeId());
        return Optional.empty();
    }

    private static Yaml yaml() {
        return new Yaml(new LoaderOptions());
    }

    private static int lineOf(Mark mark) {
        return mark == null ? 1 : mark.getLine() + 1;
    }

    private static int lineOf(String text, int codePointOffset) {
        long lineBreaks = text.codePoints()
                .limit(Math.max(0, codePointOffset))
                .filter(codePoint -> codePoint == '\n')
                .count();
        return (int) lineBreaks + 1;
    }

    private static String firstLine(Exception exception) {
        String message = String.valueOf(exception.getMessage());
        return message.lines().findFirst().orElse("nothing");
    }
}
