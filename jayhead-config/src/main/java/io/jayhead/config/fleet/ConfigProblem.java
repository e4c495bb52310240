package io.jayhead.config.fleet;

/**
 * Describes one problem of a fleet text or of daemon settings.
 *
 * @param line the line, from 1
 * @param field the path of the field, such as {@code services[0].kind}
 * @param expected what the field should hold
 * @param found what it holds
 */
public record ConfigProblem(int line, String field, String expected, String found) {

    @Override
    public String toString() {
        return "line " + line + ": " + field + ": expected " + expected + ", found " + found;
    }
}
