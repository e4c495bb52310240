package io.jayhead.admission.room;

/** What a {@link RoomVerdict} says; each request gets exactly one. */
public enum RoomDecision {
    /** The request may be sent; logged only if it has waited. */
    ADMITTED("admitted after a wait"),
    /** The request is turned away at its arrival. */
    REFUSED("refused for room"),
    /** The request has waited and is turned away. */
    DISPLACED("displaced");

    private final String event;

    RoomDecision(String event) {
        this.event = event;
    }

    /**
     * Returns the name of the log event.
     *
     * @return the name
     */
    public String event() {
        return event;
    }
}
