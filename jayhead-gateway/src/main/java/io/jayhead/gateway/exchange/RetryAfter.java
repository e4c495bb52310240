package io.jayhead.gateway.exchange;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Writes the Retry-After header of refusals. */
final class RetryAfter {

    /** Delays are spread over this share around their mean, so that callers do not return all at once. */
    private static final double SPREAD = 0.5;

    private static final double MS_PER_S = 1_000;

    private RetryAfter() {}

    /**
     * Returns the value of the header.
     *
     * @param meanMs the mean delay in milliseconds; 0 if the caller is not asked to retry
     * @return the delay in seconds, or empty if the caller is not asked to retry
     */
    static Optional<String> of(long meanMs) {
        if (meanMs == 0) {
            return Optional.empty();
        }
        double spread = 1 + SPREAD * (ThreadLocalRandom.current().nextDouble() - 0.5);
        return Optional.of(String.format(Locale.ROOT, "%.3f", meanMs * spread / MS_PER_S));
    }
}
