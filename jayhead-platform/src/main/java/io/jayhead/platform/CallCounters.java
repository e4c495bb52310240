package io.jayhead.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls to the platform by kind, and how many of them got no usable answer. */
public final class CallCounters {

    private final Map<CallKind, LongAdder> calls = new EnumMap<>(CallKind.class);
    private final Map<CallKind, LongAdder> failures = new EnumMap<>(CallKind.class);

    /** Creates counters for all kinds, starting at 0. */
    public CallCounters() {
        for (CallKind kind : CallKind.values()) {
            calls.put(kind, new LongAdder());
            failures.put(kind, new LongAdder());
        }
    }

    /**
     * Returns how many calls of a kind were started.
     *
     * @param kind the kind
     * @return the number of calls
     */
    public long calls(CallKind kind) {
        return calls.get(kind).sum();
    }

    /**
     * Returns how many calls of a kind ended without an answer or with a status of 429 or 5xx.
     *
     * @param kind the kind
     * @return the number of failures
     */
    public long failures(CallKind kind) {
        return failures.get(kind).sum();
    }

    void countCall(CallKind kind) {
        calls.get(kind).increment();
    }

    void countFailure(CallKind kind) {
        failures.get(kind).increment();
    }
}
