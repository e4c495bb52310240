package io.jayhead.config.yaml;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/** Holds a YAML value with its line and path. Methods that convert the value report a problem if its type is wrong. */
public final class YamlValue {

    /** Excludes the octal, hexadecimal, sexagesimal and underscored numbers of YAML 1.1, and numbers beyond a long. */
    private static final Pattern DECIMAL = Pattern.compile("-?(0|[1-9][0-9]{0,17})");

    /** Longer values are truncated in messages. */
    private static final int MAX_SHOWN_CHARACTERS = 60;

    private final Node node;
    private final String path;
    private final ProblemSink problems;

    private YamlValue(Node node, String path, ProblemSink problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
    }

    static YamlValue of(Node node, String path, ProblemSink problems) {
        return new YamlValue(node, path, problems);
    }

    /**
     * Returns the line where the value starts.
     *
     * @return the line number, starting at 1
     */
    public int line() {
        return node.getStartMark().getLine() + 1;
    }

    /**
     * Tells whether this value is a list.
     *
     * @return true for a list
     */
    public boolean isList() {
        return node instanceof SequenceNode;
    }

    /**
     * Returns the text of a scalar without reporting a problem.
     *
     * @return the text, or empty if this value is not a scalar
     */
    public Optional<String> peek() {
        return node instanceof ScalarNode scalar ? Optional.of(scalar.getValue()) : Optional.empty();
    }

    /**
     * Reports this value as invalid and shows it in the message.
     *
     * @param expected what the value should be
     */
    public void reject(String expected) {
        reject(expected, describe());
    }

    /**
     * Reports this value as invalid.
     *
     * @param expected what the value should be
     * @param found what it is instead
     */
    public void reject(String expected, String found) {
        problems.report(line(), path, expected, found);
    }

    /**
     * Converts a string with the given parser.
     *
     * @param expected what the value should be
     * @param parser converts the string; returns empty if it is invalid
     * @param <T> the type of the result
     * @return the result, or empty if a problem was reported
     */
    public <T> Optional<T> text(String expected, Function<String, Optional<T>> parser) {
        return rejectIfEmpty(textOf(Set.of(Tag.STR)).flatMap(parser), expected);
    }

    /**
     * Reads a digest, including one whose digits YAML reads as a number.
     *
     * <p>The message about an invalid value shows only its length, because the value may be a credential entered by
     * mistake.
     *
     * @param expected what the value should be
     * @param pattern matches a valid digest
     * @return the digest, or empty if a problem was reported
     */
    public Optional<String> digest(String expected, Pattern pattern) {
        Optional<String> text = textOf(Set.of(Tag.STR, Tag.INT, Tag.FLOAT));
        Optional<String> digest = text.filter(value -> pattern.matcher(value).matches());
        if (digest.isEmpty()) {
            reject(expected, peek().map(value -> value.length() + " characters").orElseGet(this::describe));
        }
        return digest;
    }

    /**
     * Reads a whole number in a range.
     *
     * @param min the smallest number allowed
     * @param max the largest number allowed
     * @return the number, or empty if a problem was reported
     */
    public Optional<Long> wholeNumber(long min, long max) {
        Optional<Long> number = textOf(Set.of(Tag.INT))
                .filter(value -> DECIMAL.matcher(value).matches())
                .map(Long::valueOf)
                .filter(value -> value >= min && value <= max);
        return rejectIfEmpty(number, "a whole number from " + min + " to " + max);
    }

    /**
     * Reads a boolean, written as {@code true} or {@code false}.
     *
     * @return the flag, or empty if a problem was reported
     */
    public Optional<Boolean> flag() {
        Optional<Boolean> flag = textOf(Set.of(Tag.BOOL))
                .filter(value -> value.equals("true") || value.equals("false"))
                .map(Boolean::valueOf);
        return rejectIfEmpty(flag, "true or false");
    }

    /**
     * Reads a list.
     *
     * @return the items; empty if the value is not a list, which is reported
     */
    public List<YamlValue> items() {
        if (!(node instanceof SequenceNode sequence)) {
            reject("a list");
            return List.of();
        }
        List<Node> items = sequence.getValue();
        return IntStream.range(0, items.size())
                .mapToObj(index -> of(items.get(index), path + "[" + index + "]", problems))
                .toList();
    }

    /**
     * Reads a mapping.
     *
     * @return the section, or empty if the value is not a mapping, which is reported
     */
    public Optional<YamlSection> section() {
        if (node instanceof MappingNode mapping) {
            return Optional.of(YamlSection.of(mapping, path, problems));
        }
        reject("a mapping");
        return Optional.empty();
    }

    private Optional<String> textOf(Set<Tag> tags) {
        return node instanceof ScalarNode scalar && tags.contains(scalar.getTag())
                ? Optional.of(scalar.getValue())
                : Optional.empty();
    }

    private <T> Optional<T> rejectIfEmpty(Optional<T> value, String expected) {
        if (value.isEmpty()) {
            reject(expected);
        }
        return value;
    }

    private String describe() {
        if (node instanceof MappingNode) {
            return "a mapping";
        }
        if (node instanceof SequenceNode) {
            return "a list";
        }
        String value = ((ScalarNode) node).getValue();
        if (node.getTag().equals(Tag.NULL)) {
            return "nothing";
        }
        String shown = value.length() > MAX_SHOWN_CHARACTERS ? value.substring(0, MAX_SHOWN_CHARACTERS) + "..." : value;
        String oneLine = shown.replace("\n", "\\n").replace("\r", "\\r");
        return node.getTag().equals(Tag.STR) ? "\"" + oneLine + "\"" : oneLine;
    }
}
