package io.jayhead.scenarios.language;

/** Reports a line that is not in the language. */
public final class ScenarioSyntaxException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(int line, String message) {
        super("line " + line + ": " + message);
    }
}
