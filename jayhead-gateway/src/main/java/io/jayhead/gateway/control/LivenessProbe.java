package io.jayhead.gateway.control;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Checks whether the platform answers; used by the control thread.
 *
 * <p>While it does, only a router whose calls are all watches that wait needs a check: a platform that has become
 * silent may never answer these.
 *
 * <p>In an outage a probe is sent at each check, although earlier ones have not failed yet. Entries of upstreams are
 * kept for a fixed time after the outage, so its end must be noticed at once, and a probe that was sent before it may
 * get no answer for as long as calls wait.
 */
final class LivenessProbe {

    /** After this time without an answer, the platform is probed. */
    private static final long QUIET_NS = 1_500_000_000L;

    private final Supplier<CompletionStage<Void>> call;
    private final PlatformHealth health;
    private int inFlight;

    /**
     * Creates a probe.
     *
     * @param call calls the platform on a new connection
     * @param health tracks whether the platform answers
     */
    LivenessProbe(Supplier<CompletionStage<Void>> call, PlatformHealth health) {
        this.call = call;
        this.health = health;
    }

    /** Probes the platform if that is due; must be called several times a second. */
    void check() {
        if (health.isUnavailable() || isQuiet()) {
            probe();
        }
    }

    private boolean isQuiet() {
        return inFlight == 0 && !health.isProbing() && health.quietNs() > QUIET_NS;
    }

    private void probe() {
        inFlight++;
        long sentAtNs = System.nanoTime();
        call.get().whenComplete((done, failure) -> {
            inFlight--;
            if (failure == null) {
                health.succeeded("probe");
            } else {
                health.failed("probe", failure, sentAtNs);
            }
        });
    }
}
