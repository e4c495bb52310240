package io.jayhead.model;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Distinguishes the kinds of requests by deadline, priority, retry rule and queue rule. */
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
     * Returns the time from arrival to the end of the answer.
     *
     * @return milliseconds
     */
    public long deadlineMs() {
        return deadlineMs;
    }

    /**
     * Returns the longest time in a queue.
     *
     * @return milliseconds
     */
    public long queueLimitMs() {
        return queueLimitMs;
    }

    /**
     * Returns the priority; higher goes first.
     *
     * @return a number from 0 to 9
     */
    public int priority() {
        return priority;
    }

    /**
     * Returns the retry rule.
     *
     * @return the rule
     */
    public RetryRule retryRule() {
        return retryRule;
    }

    /**
     * Tells whether a model engine serves this kind.
     *
     * @return true for the generations
     */
    public boolean isGeneration() {
        return generation;
    }
}
