package io.jayhead.standins.http;

import io.jayhead.standins.fault.FaultKind;
import java.util.Set;

/** Serves the protocol of one outside system. All calls come from the control thread of its server. */
public interface Standin {

    /**
     * Answers a request, at once or later from the control thread.
     *
     * @param request the request
     * @param exchange where the answer goes
     */
    void handle(Request request, Exchange exchange);

    /** Returns the faults that this stand-in can produce. */
    Set<FaultKind> faults();
}
