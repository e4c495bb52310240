package io.jayhead.standins.engine;

/** States how far a request has come. */
enum RunState {
    QUEUED("running"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("cancelled");

    private final String text;

    RunState(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }

    boolean isEnded() {
        return this == DONE || this == CANCELLED;
    }
}
