package io.jayhead.standins.http;

import io.jayhead.standins.fault.FaultKind;
import java.util.Set;

/** Simulates one external system. All calls come from the control thread of its server. */
public interface Standin {

    /**
     * Handles a request. The response may be sent at once or later, always from the control thread.
     *
     * @param request the request
     * @param exchange sends the response
     */
    void handle(Request request, Exchange exchange);

    /** Returns the faults that this stand-in can produce. */
    Set<FaultKind> faults();
}
