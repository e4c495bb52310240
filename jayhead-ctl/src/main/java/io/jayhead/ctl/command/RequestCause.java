package io.jayhead.ctl.command;

import java.util.Arrays;

/** Maps the event of a request's last log line to an explanation; the first constant whose prefix matches counts. */
enum RequestCause {
    SERVED("served", "the upstream's whole answer reached the caller"),
    BUDGET_EXHAUSTED(
            "BUDGET_EXHAUSTED",
            "the prepaid budget did not cover the request, here, in the ledger and at other routers"),
    BUDGET_UNAVAILABLE(
            "BUDGET_UNAVAILABLE",
            "the ledger did not answer and no router had tokens to lend; the request did not run"),
    OVERLOADED("OVERLOADED", "all upstreams that were tried rejected the request; it did not run"),
    OVER_LIMIT(
            "OVER_LIMIT",
            "more requests were in flight than the service answers within the objective; the request did not run"),
    PROMPT_BLOCKED(
            "PROMPT_BLOCKED",
            "several upstreams ended under a part of the prompt (see 'prompt part blocked'); the request did not run"),
    MALFORMED("MALFORMED", "the request had no id, or a size that could not be read"),
    NO_UPSTREAM("NO_UPSTREAM", "no upstream could be reached in time; the request did not run"),
    NO_ALLOWED_REGION(
            "NO_ALLOWED_REGION",
            "no upstream was in a region that route and organisation allow; the request did not run"),
    WARMING_UP(
            "WARMING_UP",
            "the upstreams that were left warm up and take few requests a second; the request did not run"),
    MEMORY_EXHAUSTED(
            "MEMORY_EXHAUSTED",
            "connections held all the memory that they may hold, and this request was among those given up; it did not"
                    + " run"),
    NOT_CONFIGURED("NOT_CONFIGURED", "the router had just started and had no configuration yet"),
    STOPPING("STOPPING", "the router was being stopped"),
    NO_ROUTE("NO_ROUTE", "no route of the configuration in force leads to the host and path"),
    UNKNOWN_KEY("UNKNOWN_KEY", "the key is not in the configuration in force"),
    OUTCOME_UNKNOWN("OUTCOME_UNKNOWN", "the request was sent and its answer did not arrive whole; it may have run"),
    TIMED_OUT("TIMED_OUT", "the time limit of the route or the caller passed after the request was sent"),
    BROKEN_OFF("broken off", "the stream ended before its last event and could not go on elsewhere"),
    UPSTREAM_FAILURE("upstream failure", "the upstream answered with a failure of its own"),
    CALLER_CLOSED("caller closed", "the caller left before the answer was complete"),
    UNKNOWN("", "see the lines above");

    private final String eventPrefix;
    private final String meaning;

    RequestCause(String eventPrefix, String meaning) {
        this.eventPrefix = eventPrefix;
        this.meaning = meaning;
    }

    static String of(LogLine lastLine) {
        return Arrays.stream(values())
                .filter(cause -> lastLine.field("event").startsWith(cause.eventPrefix))
                .findFirst()
                .orElse(UNKNOWN)
                .meaning;
    }
}
