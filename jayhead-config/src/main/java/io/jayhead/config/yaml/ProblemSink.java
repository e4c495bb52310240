package io.jayhead.config.yaml;

/** Receives the problems found in a YAML text. */
@FunctionalInterface
public interface ProblemSink {

    /**
     * Receives one problem.
     *
     * @param line the line number, starting at 1
     * @param field the path of the field, such as {@code services[0].kind}
     * @param expected what the field should hold
     * @param found what it holds instead
     */
    void report(int line, String field, String expected, String found);
}
