package io.jayhead.standins;

import java.util.function.BooleanSupplier;

final class Waiting {

    private static final long LIMIT_MS = 5000;

    private Waiting() {}

    static void until(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + LIMIT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition did not hold within " + LIMIT_MS + " ms");
            }
            sleep(10);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
