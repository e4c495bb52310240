package io.jayhead.config.yaml;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/** Holds the values of a YAML mapping by key, and reports missing, unknown and duplicate keys. */
public final class YamlSection {

    private final int line;
    private final String path;
    private final Map<String, YamlValue> values;
    private final Map<String, Integer> keyLines;
    private final ProblemSink problems;

    private YamlSection(
            int line, String path, Map<String, YamlValue> values, Map<String, Integer> keyLines, ProblemSink problems) {
        this.line = line;
        this.path = path;
        this.values = values;
        this.keyLines = keyLines;
        this.problems = problems;
    }

    static YamlSection of(MappingNode node, String path, ProblemSink problems) {
        Map<String, YamlValue> values = new LinkedHashMap<>();
        Map<String, Integer> keyLines = new LinkedHashMap<>();
        String prefix = path.isEmpty() ? "" : path + ".";
        for (NodeTuple tuple : node.getValue()) {
            int keyLine = tuple.getKeyNode().getStartMark().getLine() + 1;
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                problems.report(keyLine, path.isEmpty() ? "text" : path, "a key that is text", "a collection as key");
                continue;
            }
            String field = prefix + key.getValue();
            if (values.containsKey(key.getValue())) {
                problems.report(keyLine, field, "each key once", "a duplicate of line " + keyLines.get(key.getValue()));
                continue;
            }
            values.put(key.getValue(), YamlValue.of(tuple.getValueNode(), field, problems));
            keyLines.put(key.getValue(), keyLine);
        }
        return new YamlSection(node.getStartMark().getLine() + 1, path, values, keyLines, problems);
    }

    /**
     * Reports every key that is not allowed in this section.
     *
     * @param allowedKeys the allowed keys
     */
    public void allowOnly(Set<String> allowedKeys) {
        for (Map.Entry<String, Integer> entry : keyLines.entrySet()) {
            if (!allowedKeys.contains(entry.getKey())) {
                problems.report(
                        entry.getValue(),
                        fieldOf(entry.getKey()),
                        "one of " + String.join(", ", new TreeSet<>(allowedKeys)),
                        "an unknown key");
            }
        }
    }

    /**
     * Reports a key if it is present.
     *
     * @param key the key
     * @param expected what the section should hold instead
     */
    public void forbid(String key, String expected) {
        optional(key).ifPresent(value -> value.reject(expected));
    }

    /**
     * Returns the value of a key that may be absent.
     *
     * @param key the key
     * @return the value, or empty if the key is absent
     */
    public Optional<YamlValue> optional(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /**
     * Returns the value of a key and reports a problem if it is absent.
     *
     * @param key the key
     * @param expected what the key should hold
     * @return the value, or empty if the key is absent
     */
    public Optional<YamlValue> required(String key, String expected) {
        if (!values.containsKey(key)) {
            problems.report(line, fieldOf(key), expected, "nothing");
        }
        return optional(key);
    }

    /**
     * Returns the text of a key without reporting a problem.
     *
     * @param key the key
     * @return the text, or empty if the key is absent or its value is not a scalar
     */
    public Optional<String> peek(String key) {
        return optional(key).flatMap(YamlValue::peek);
    }

    /**
     * Returns the items of a list that may be absent.
     *
     * @param key the key of the list
     * @return the items; empty if the key is absent, or if its value is not a list, which is reported
     */
    public List<YamlValue> items(String key) {
        return optional(key).map(YamlValue::items).orElse(List.of());
    }

    /**
     * Returns the sections of a list of mappings that may be absent.
     *
     * @param key the key of the list
     * @return the sections; items that are not mappings are reported and left out
     */
    public List<YamlSection> sections(String key) {
        return items(key).stream()
                .map(YamlValue::section)
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Returns the line where the section starts.
     *
     * @return the line number, starting at 1
     */
    public int line() {
        return line;
    }

    /**
     * Reports a problem of the section as a whole.
     *
     * @param expected what the section should hold
     * @param found what it holds instead
     */
    public void reject(String expected, String found) {
        problems.report(line, path, expected, found);
    }

    private String fieldOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
