package io.jayhead.scenarios.run;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Repeats a check until it holds or a limit passes. */
final class Poll {

    private static final long PERIOD_MS = 50;

    private Poll() {}

    /** Returns empty as soon as the check holds, or its last failure once the limit passes. Checks at least once. */
    static Optional<String> until(long limitMs, Supplier<Optional<String>> check) {
        long startNanos = System.nanoTime();
        while (true) {
            Optional<String> failure = failureOf(check);
            if (failure.isEmpty() || System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(limitMs)) {
                return failure;
            }
            sleep(PERIOD_MS);
        }
    }

    /** Runs a check. A stand-in that does not respond counts as a failed check, because a later attempt may succeed. */
    private static Optional<String> failureOf(Supplier<Optional<String>> check) {
        try {
            return check.get();
        } catch (IllegalStateException e) {
            return Optional.of(e.getMessage());
        }
    }

    static void sleep(long durationMs) {
        try {
            Thread.sleep(Math.max(0, durationMs));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
