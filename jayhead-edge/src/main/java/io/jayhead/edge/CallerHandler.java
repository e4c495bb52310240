package io.jayhead.edge;

/** Serves requests of callers. */
@FunctionalInterface
public interface CallerHandler {

    /**
     * Serves one request. It is called on an I/O thread and must not block.
     *
     * @param request the request
     * @param response where the answer goes
     */
    void handle(CallerRequest request, CallerResponse response);
}
