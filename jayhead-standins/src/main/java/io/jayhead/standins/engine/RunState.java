package io.jayhead.standins.engine;

/** Lists the states of a request, with the names that the protocol gives them. */
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
