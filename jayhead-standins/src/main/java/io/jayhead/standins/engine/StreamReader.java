package io.jayhead.standins.engine;

import io.jayhead.standins.http.Exchange;

/** Writes a run's tokens to one connection, each in its own flush. */
final class StreamReader {

    private final Exchange exchange;
    private int nextIndex;
    private boolean announced;

    StreamReader(Exchange exchange, int firstIndex) {
        this.exchange = exchange;
        this.nextIndex = firstIndex;
    }

    /** Sends what the run has produced since the last call. */
    void advance(Run run) {
        if (!exchange.isOpen()) {
            return;
        }
        if (run.hasStarted() && !announced) {
            announced = true;
            exchange.event(new StreamEvent.Start(true, run.promptTokens()));
        }
        while (nextIndex < run.producedTokens()) {
            exchange.event(new StreamEvent.Token(nextIndex, run.text().token(nextIndex)));
            nextIndex++;
        }
        if (run.state() == RunState.DONE) {
            exchange.event(new StreamEvent.Done(true, run.promptTokens(), run.producedTokens()));
            exchange.endEvents();
        } else if (run.state() == RunState.CANCELLED) {
            exchange.event(new StreamEvent.Cancelled(true, run.promptTokens(), run.producedTokens()));
            exchange.endEvents();
        }
    }
}
