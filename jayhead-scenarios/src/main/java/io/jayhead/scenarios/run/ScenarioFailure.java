package io.jayhead.scenarios.run;

/** Signals that at least one step or check of a scenario failed. */
public final class ScenarioFailure extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ScenarioFailure(String message) {
        super(message);
    }
}
