package io.jayhead.config.fleet;

/**
 * Describes one problem of a fleet text or of the settings of a router daemon.
 *
 * @param line the line number, starting at 1
 * @param field the path of the field, such as {@code services[0].kind}
 * @param expected what the field should hold
 * @param found what it holds instead
 */
public record ConfigProblem(int line, String field, String expected, String found) {

    @Override
    public String toString() {
        return "line " + line + ": " + field + ": expected " + expected + ", found " + found;
    }
}
