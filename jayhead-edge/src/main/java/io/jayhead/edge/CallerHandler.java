package io.jayhead.edge;

/** Handles the requests of callers. */
@FunctionalInterface
public interface CallerHandler {

    /**
     * Handles one request. Called on an I/O thread, so it must not block.
     *
     * @param request the request
     * @param response sends the response
     */
    void handle(CallerRequest request, CallerResponse response);
}
