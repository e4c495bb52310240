package io.jayhead.model;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Lists the kinds of requests, with their deadline, queue limit, priority and retry rule. */
public enum RequestKind {
    /** A long generation that can wait, such as a care plan or a route digest. */
    LONG_GENERATION(120_000, 30_000, 3, RetryRule.RESUME, true),
    /** A short question whose answer is streamed to a person. */
    INTERACTIVE(30_000, 5_000, 7, RetryRule.RESUME, true),
    /** A short summary or label. */
    SUMMARY(30_000, 10_000, 5, RetryRule.RESUME, true),
    /** A call that must run at most once. */
    BOOKING(10_000, 5_000, 9, RetryRule.NEVER, false),
    /** An idempotent read. */
    STATUS_READ(5_000, 3_000, 8, RetryRule.REPEAT, false);

    private final long deadlineMs;
    private final long queueLimitMs;
    private final int priority;
    private final RetryRule retryRule;
    private final boolean generation;

    RequestKind(long deadlineMs, long queueLimitMs, int priority, RetryRule retryRule, boolean generation) {
        this.deadlineMs = deadlineMs;
        this.queueLimitMs = queueLimitMs;
        this.priority = priority;
        this.retryRule = retryRule;
        this.generation = generation;
    }

    /**
     * Finds the kind with the given name in the fleet text.
     *
     * @param name the name, such as {@code long_generation}
     * @return the kind, or empty if there is none
     */
    public static Optional<RequestKind> parse(String name) {
        return Stream.of(values())
                .filter(kind -> kind.configName().equals(name))
                .findFirst();
    }

    /**
     * Returns the name used in the fleet text.
     *
     * @return the name in lower case
     */
    public String configName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the maximum time from the arrival of a request to the end of its answer.
     *
     * @return milliseconds
     */
    public long deadlineMs() {
        return deadlineMs;
    }

    /**
     * Returns the maximum time that a request waits in a queue.
     *
     * @return milliseconds
     */
    public long queueLimitMs() {
        return queueLimitMs;
    }

    /**
     * Returns the priority; requests with a higher priority are served first.
     *
     * @return a number from 0 to 9
     */
    public int priority() {
        return priority;
    }

    /**
     * Returns the rule for further attempts after a failed one.
     *
     * @return the rule
     */
    public RetryRule retryRule() {
        return retryRule;
    }

    /**
     * Tells whether a model engine serves this kind.
     *
     * @return true for a model engine; false for a plain service
     */
    public boolean isGeneration() {
        return generation;
    }
}
