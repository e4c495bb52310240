package io.jayhead.scenarios.language;

/** Signals a syntax error in a scenario file and names the line. */
public final class ScenarioSyntaxException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(int line, String message) {
        super("line " + line + ": " + message);
    }
}
