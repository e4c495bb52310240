package io.jayhead.standins.http;

import java.util.Set;

/** Lists the paths with which tests control and observe a stand-in. Faults never apply to them. */
final class ControlPaths {

    static final String FAULTS = "/faults";

    private static final Set<String> PATHS = Set.of(FAULTS, "/counters", "/executions", "/v1/totals");

    private ControlPaths() {}

    static boolean contains(Request request) {
        return PATHS.contains(request.path());
    }
}
