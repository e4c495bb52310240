package io.jayhead.scenarios.language;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/** Parses scenario files. */
public final class ScenarioParser {

    private static final String DEFAULT_AVAILABILITY_ZONE = "az-1";

    private String name = "";
    private String guards = "";
    private final List<Node> nodes = new ArrayList<>();
    private final List<Step> steps = new ArrayList<>();

    private ScenarioParser() {}

    /**
     * Parses a scenario. Empty lines and lines that start with {@code #} are ignored.
     *
     * @param text the content of the file
     * @return the scenario
     * @throws ScenarioSyntaxException if a line has a syntax error or a required line is missing
     */
    public static Scenario parse(String text) {
        ScenarioParser parser = new ScenarioParser();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length; i++) {
            parser.parseLine(i + 1, lines[i].strip());
        }
        if (parser.name.isEmpty() || parser.guards.isEmpty() || parser.nodes.isEmpty()) {
            throw new ScenarioSyntaxException(1, "the lines 'scenario', 'guards:' and 'fleet:' are required");
        }
        return new Scenario(parser.name, parser.guards, parser.nodes, parser.steps);
    }

    private void parseLine(int line, String text) {
        if (text.isEmpty() || text.startsWith("#")) {
            return;
        }
        if (text.startsWith("scenario ")) {
            name = text.substring("scenario ".length()).strip();
        } else if (text.startsWith("guards: ")) {
            guards = text.substring("guards: ".length()).strip();
        } else if (text.startsWith("fleet: ")) {
            parseFleet(line, text.substring("fleet: ".length()));
        } else {
            parseStep(line, text);
        }
    }

    private void parseFleet(int line, String text) {
        for (String part : text.split(",")) {
            nodes.add(parseNode(new Words(line, part)));
        }
    }

    static Node parseNode(Words words) {
        String kindWord = words.word();
        NodeKind kind = Arrays.stream(NodeKind.values())
                .filter(value -> value.text().equals(kindWord))
                .findFirst()
                .orElseThrow(() -> words.syntaxError("expected platform, engine, booking or router"));
        String nodeName = kind == NodeKind.PLATFORM ? kind.text() : words.word();
        List<String> rest = words.rest();
        boolean hasAvailabilityZone = !rest.isEmpty() && rest.get(0).startsWith("az-");
        return hasAvailabilityZone
                ? new Node(kind, nodeName, rest.get(0), rest.subList(1, rest.size()))
                : new Node(kind, nodeName, DEFAULT_AVAILABILITY_ZONE, rest);
    }

    private void parseStep(int line, String text) {
        int colon = text.indexOf(": ");
        if (text.startsWith("at ") && colon > 0) {
            Words time = new Words(line, text.substring("at ".length(), colon));
            long atMs = time.durationMs();
            time.expectEnd();
            addStep(line, text, OptionalLong.of(atMs), text.substring(colon + 2));
        } else {
            addStep(line, text, OptionalLong.empty(), text);
        }
    }

    private void addStep(int line, String text, OptionalLong atMs, String command) {
        Words words = new Words(line, command);
        Command parsed = words.take("expect") ? ExpectationReader.read(words) : ActionReader.read(words);
        words.expectEnd();
        steps.add(new Step(line, text, atMs, parsed));
    }
}
