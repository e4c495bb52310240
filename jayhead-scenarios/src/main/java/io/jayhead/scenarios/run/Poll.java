package io.jayhead.scenarios.run;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Repeats a check until it holds or a limit passes. */
final class Poll {

    private static final long PERIOD_MS = 50;

    private Poll() {}

    /** Returns the last fault, or empty as soon as the check holds. */
    static Optional<String> until(long limitMs, Supplier<Optional<String>> check) {
        long startNanos = System.nanoTime();
        while (true) {
            Optional<String> fault = faultOf(check);
            if (fault.isEmpty() || System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(limitMs)) {
                return fault;
            }
            sleep(PERIOD_MS);
        }
    }

    /** A stand-in that does not answer is a fault that may pass. */
    private static Optional<String> faultOf(Supplier<Optional<String>> check) {
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
