package io.jayhead.gateway.exchange;

import io.jayhead.dispatch.forward.RetryDelay;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Computes the Retry-After header of refusals. */
final class RetryAfter {

    /** Delays are spread over this share around their mean, so that callers do not return all at once. */
    private static final double SPREAD = 0.5;

    private static final double MS_PER_S = 1_000;

    private RetryAfter() {}

    /**
     * Returns the value of the header.
     *
     * @param refusal the reason for the refusal
     * @param causeMs for how long the outage or overload behind the refusal has lasted; ignored for other reasons
     * @return the delay in seconds, or empty if the caller is not asked to retry
     */
    static Optional<String> of(Refusal refusal, long causeMs) {
        long meanMs =
                switch (refusal) {
                    case BUDGET_UNAVAILABLE, OVER_LIMIT -> RetryDelay.forOutageMs(causeMs);
                    default -> refusal.retryAfterMs();
                };
        if (meanMs == 0) {
            return Optional.empty();
        }
        double spread = 1 + SPREAD * (ThreadLocalRandom.current().nextDouble() - 0.5);
        return Optional.of(String.format(Locale.ROOT, "%.3f", meanMs * spread / MS_PER_S));
    }
}
