package io.jayhead.standins.engine;

import io.jayhead.standins.http.Exchange;

/** Sends the events of a run to one connection and flushes each token on its own. */
final class StreamSubscriber {

    private final Exchange exchange;
    private int nextIndex;
    private boolean startSent;

    StreamSubscriber(Exchange exchange, int firstIndex) {
        this.exchange = exchange;
        this.nextIndex = firstIndex;
    }

    /** Sends the events that the run produced since the last call, and ends the stream if the run has ended. */
    void sendPending(Run run) {
        if (!exchange.isOpen()) {
            return;
        }
        if (run.hasStarted() && !startSent) {
            startSent = true;
            exchange.sendEvent(new StreamEvent.Start(true, run.promptTokens()));
        }
        while (nextIndex < run.producedTokens()) {
            exchange.sendEvent(new StreamEvent.Token(nextIndex, run.text().token(nextIndex)));
            nextIndex++;
        }
        if (run.state() == RunState.DONE) {
            exchange.sendEvent(new StreamEvent.Done(true, run.promptTokens(), run.producedTokens()));
            exchange.endEventStream();
        } else if (run.state() == RunState.CANCELLED) {
            exchange.sendEvent(new StreamEvent.Cancelled(true, run.promptTokens(), run.producedTokens()));
            exchange.endEventStream();
        }
    }
}
