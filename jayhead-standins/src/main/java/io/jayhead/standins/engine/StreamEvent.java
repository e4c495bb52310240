package io.jayhead.standins.engine;

/**
 * Represents an event of a token stream. The component names are the field names of the protocol. The boolean
 * components are always true; their names tell the event types apart.
 */
sealed interface StreamEvent {

    /** Tells that the request left the queue and runs. */
    record Start(boolean start, int promptTokens) implements StreamEvent {}

    /** Carries one token. */
    record Token(int index, String text) implements StreamEvent {}

    /** Ends the stream of a complete answer. */
    record Done(boolean done, int promptTokens, int outputTokens) implements StreamEvent {}

    /** Ends the stream of a cancelled request. */
    record Cancelled(boolean cancelled, int promptTokens, int outputTokens) implements StreamEvent {}
}
