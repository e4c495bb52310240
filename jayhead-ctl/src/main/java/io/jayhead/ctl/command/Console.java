package io.jayhead.ctl.command;

import java.io.PrintStream;

/**
 * Holds the output streams of a command.
 *
 * @param out receives results
 * @param err receives messages about problems
 */
public record Console(PrintStream out, PrintStream err) {

    /**
     * Prints one line of a result.
     *
     * @param line the line
     */
    public void print(Object line) {
        out.println(line);
    }

    /**
     * Prints one line about a problem.
     *
     * @param line the line
     */
    public void problem(Object line) {
        err.println(line);
    }
}
