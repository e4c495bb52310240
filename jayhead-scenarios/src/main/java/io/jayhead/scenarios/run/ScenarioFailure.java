package io.jayhead.scenarios.run;

/** Reports a scenario whose expectations do not hold. */
public final class ScenarioFailure extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ScenarioFailure(String message) {
        super(message);
    }
}
