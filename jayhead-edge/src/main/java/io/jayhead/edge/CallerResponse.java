package io.jayhead.edge;

/**
 * Sends the answer to a caller. Methods may be called from any thread, one at a time, and do not block.
 *
 * <p>An answer is either one document or a stream of events. A stream ends with {@link #endStream()} only if it is
 * whole; otherwise with {@link #abort()}, which closes the connection so that the caller sees that it is incomplete.
 */
public interface CallerResponse {

    /**
     * Sends the whole answer.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     */
    void send(int status, String contentType, byte[] body);

    /**
     * Sets a header of the answer; only before the answer starts.
     *
     * @param name the name
     * @param value the value
     */
    void header(String name, String value);

    /** Starts a stream of server-sent events with status 200. */
    void startStream();

    /**
     * Sends one event.
     *
     * @param event the event name
     * @param data the data, one line
     */
    void event(String event, String data);

    /** Ends a whole stream. */
    void endStream();

    /** Closes the connection without ending the answer. */
    void abort();

    /**
     * Registers an action that runs when the caller's connection closes before the answer is finished.
     *
     * @param action the action
     */
    void onClose(Runnable action);
}
