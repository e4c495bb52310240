package io.jayhead.config.yaml;

/** Receives the problems found in a text. */
@FunctionalInterface
public interface ProblemSink {

    /**
     * Receives one problem.
     *
     * @param line the line, from 1
     * @param field the path of the field
     * @param expected what the field should hold
     * @param found what it holds
     */
    void report(int line, String field, String expected, String found);
}
