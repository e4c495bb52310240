package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.EventFramer;
import io.jayhead.dispatch.forward.StreamEvent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Forwards the complete events of a stream to the caller, across several attempts; drops events that a resumed stream
 * repeats. Used by the traffic thread.
 */
final class StreamRelay {

    /** The fault of an answer that has something else than the next events of a stream that broke off. */
    static final String FOREIGN = "the answer does not continue the stream";

    /** No field of an event begins in this way. */
    private static final String PROTOCOL = "HTTP/1.";

    private final CallerChannel caller;
    private EventFramer framer = new EventFramer();
    private String lastId = "";
    private OptionalLong lastNumericId = OptionalLong.empty();
    private int events;
    private int eventsOfAttempt;
    private boolean forwardedInAttempt;
    private boolean resumed;
    private boolean foreign;

    StreamRelay(CallerChannel caller) {
        this.caller = caller;
    }

    /** Starts to read the stream of another attempt; discards the bytes of an incomplete event. */
    void restart() {
        framer = new EventFramer();
        eventsOfAttempt = 0;
        forwardedInAttempt = false;
        resumed = events > 0;
    }

    /** Forwards the events that the bytes complete; returns whether there were any. */
    boolean add(byte[] bytes) {
        List<StreamEvent> complete = framer.add(bytes);
        forward(complete);
        return !complete.isEmpty() && !foreign;
    }

    private void forward(List<StreamEvent> complete) {
        eventsOfAttempt += complete.size();
        for (StreamEvent event : complete) {
            if (hasPartOfAnswer(event) || isForeign(event)) {
                foreign = true;
                return;
            }
            if (isRepeated(event)) {
                continue;
            }
            caller.stream(event.bytes());
            events++;
            forwardedInAttempt = true;
            if (!event.id().isEmpty()) {
                lastId = event.id();
                lastNumericId = event.numericId();
            }
        }
    }

    /**
     * Ends the answer of the current attempt and tells whether the stream is complete. A stream that ends inside an
     * event has been broken off, also where its last chunk or its length says otherwise. An answer without a length may
     * have been broken off between two events too.
     *
     * @param framed whether the answer names its own end
     */
    boolean endAttempt(boolean framed) {
        forward(framer.end().stream().toList());
        boolean insideEvent = framer.incompleteEvent().length > 0;
        return !insideEvent && !foreign && (framed || forwardedInAttempt);
    }

    /** Ends the answer to the caller, after the bytes of an answer that has no events. */
    void end() {
        byte[] rest = framer.incompleteEvent();
        if (rest.length > 0) {
            caller.stream(rest);
        }
        caller.endStream();
    }

    /** Returns why the answer of the current attempt cannot be passed on further; empty if it can. */
    Optional<String> fault() {
        if (foreign) {
            return Optional.of(FOREIGN);
        }
        return framer.isTooLong() ? Optional.of("an event is too long") : Optional.empty();
    }

    int events() {
        return events;
    }

    /** Returns the complete events of the current attempt, including those that the caller had received before. */
    int eventsOfAttempt() {
        return eventsOfAttempt;
    }

    String lastId() {
        return lastId;
    }

    /** Streams are resumed by the ids of their events, so the first event that continues one has an id too. */
    private boolean isForeign(StreamEvent event) {
        return resumed
                && !forwardedInAttempt
                && lastNumericId.isPresent()
                && event.numericId().isEmpty();
    }

    private static boolean hasPartOfAnswer(StreamEvent event) {
        String text = new String(event.bytes(), StandardCharsets.ISO_8859_1);
        return text.startsWith(PROTOCOL) || text.contains("\n" + PROTOCOL);
    }

    private boolean isRepeated(StreamEvent event) {
        OptionalLong numericId = event.numericId();
        return numericId.isPresent() && lastNumericId.isPresent() && numericId.getAsLong() <= lastNumericId.getAsLong();
    }
}
