package io.jayhead.edge;

/**
 * Sends the response to a caller. Its methods do not block and may be called from any thread, but not concurrently.
 *
 * <p>A response is either one document or a stream of events. A complete stream ends with {@link #endStream()}, an
 * incomplete one with {@link #abort()}, which closes the connection so that the caller can tell the difference.
 */
public interface CallerResponse {

    /**
     * Sends a response that consists of one document.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     */
    void send(int status, String contentType, byte[] body);

    /**
     * Sets a response header. Must be called before the response starts.
     *
     * @param name the name
     * @param value the value
     */
    void setHeader(String name, String value);

    /** Starts a stream of server-sent events with status 200. */
    void startStream();

    /**
     * Sends one event of a started stream.
     *
     * @param event the event name
     * @param data the data, without line breaks
     */
    void sendEvent(String event, String data);

    /** Ends a complete stream. */
    void endStream();

    /** Closes the connection without ending the response. */
    void abort();

    /**
     * Registers an action that runs if the caller's connection closes before the response is finished.
     *
     * @param action the action
     */
    void onClose(Runnable action);
}
