package io.jayhead.standins.engine;

/** Lists the events of a token stream. Field names are those of the protocol. */
sealed interface StreamEvent {

    /** Announces that the request runs. */
    record Start(boolean start, int promptTokens) implements StreamEvent {}

    /** Carries one token. */
    record Token(int index, String text) implements StreamEvent {}

    /** Ends a complete answer. */
    record Done(boolean done, int promptTokens, int outputTokens) implements StreamEvent {}

    /** Ends the answer of a cancelled request. */
    record Cancelled(boolean cancelled, int promptTokens, int outputTokens) implements StreamEvent {}
}
