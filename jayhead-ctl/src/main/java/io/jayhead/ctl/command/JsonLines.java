package io.jayhead.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints a JSON value either as formatted JSON or as one line for each of its scalar values. */
final class JsonLines {

    private JsonLines() {}

    static void print(Console console, JsonNode node, boolean json) {
        if (json) {
            console.print(node.toPrettyString());
            return;
        }
        printLines(console, "", node);
    }

    private static void printLines(Console console, String path, JsonNode node) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            node.properties().forEach(field -> printLines(console, prefix + field.getKey(), field.getValue()));
            return;
        }
        if (node.isArray()) {
            for (int index = 0; index < node.size(); index++) {
                printLines(console, path + "[" + index + "]", node.get(index));
            }
            return;
        }
        console.print(path + ": " + node.asText());
    }
}
