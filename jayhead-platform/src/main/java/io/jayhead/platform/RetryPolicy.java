package io.jayhead.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Defines how often a call is attempted and how long to wait between the attempts.
 *
 * @param maxAttempts the maximum number of attempts, at least 1
 * @param backoff the backoff between attempts
 * @param random the source of random numbers from 0 (inclusive) to 1 (exclusive)
 * @param delayedExecutor returns an executor that starts a task after a delay in milliseconds
 */
public record RetryPolicy(
        int maxAttempts, Backoff backoff, DoubleSupplier random, LongFunction<Executor> delayedExecutor) {

    /** Checks the maximum of attempts. */
    public RetryPolicy {
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts must be at least 1: " + maxAttempts);
        }
    }

    /**
     * Returns a policy that waits on the timer of the JDK.
     *
     * @param maxAttempts the maximum number of attempts, at least 1
     * @param backoff the backoff between attempts
     * @param random the source of random numbers from 0 (inclusive) to 1 (exclusive)
     * @return the policy
     */
    public static RetryPolicy of(int maxAttempts, Backoff backoff, DoubleSupplier random) {
        return new RetryPolicy(
                maxAttempts,
                backoff,
                random,
                delayMs -> CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS));
    }

    <T> CompletableFuture<T> after(int failures, long atLeastMs, Supplier<CompletableFuture<T>> nextAttempt) {
        long delayMs = atLeastMs + backoff.delayMs(failures, random.getAsDouble());
        return CompletableFuture.supplyAsync(nextAttempt, delayedExecutor.apply(delayMs))
                .thenCompose(next -> next);
    }
}
