package io.jayhead.routing.placement;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The load that an upstream reports with an answer. Each figure is empty if it is missing or malformed.
 *
 * @param running the requests of all routers that it processes
 * @param waiting the requests of all routers in its queue
 * @param slots the requests that it processes at the same time
 * @param slowdown the time that work takes on its machine at the moment, divided by the usual time
 */
public record ReportedLoad(OptionalInt running, OptionalInt waiting, OptionalInt slots, OptionalDouble slowdown) {

    /**
     * Returns the report of an upstream that tells nothing.
     *
     * @return a load without figures
     */
    public static ReportedLoad empty() {
        return new ReportedLoad(OptionalInt.empty(), OptionalInt.empty(), OptionalInt.empty(), OptionalDouble.empty());
    }

    /**
     * Returns the requests at the upstream, running or waiting.
     *
     * @return the number of requests; empty if the running ones are not reported
     */
    public OptionalInt requests() {
        return running.isEmpty() ? running : OptionalInt.of(running.getAsInt() + waiting.orElse(0));
    }
}
