package io.jayhead.gateway.control;

/**
 * Checks that the platform still answers a router whose only calls are watches that wait; used by the control thread.
 *
 * <p>A platform that has become silent may never answer such a watch. Without other calls, the router would notice only
 * when the watch times out, and would miss all changes until then.
 */
final class LivenessProbe {

    /** After this time without an answer, the platform is probed. */
    private static final long QUIET_NS = 1_500_000_000L;

    private final PlatformClient platform;
    private final PlatformHealth health;
    private final RouterAddress self;
    private boolean inFlight;

    LivenessProbe(PlatformClient platform, PlatformHealth health, RouterAddress self) {
        this.platform = platform;
        this.health = health;
        this.self = self;
    }

    /** Probes the platform if that is due; must be called several times a second. */
    void check() {
        boolean otherCallProbes = health.isProbing();
        boolean due = health.isUnavailable() || health.quietNs() > QUIET_NS;
        if (inFlight || otherCallProbes || !due) {
            return;
        }
        inFlight = true;
        platform.probe(self).whenComplete((done, failure) -> {
            inFlight = false;
            if (failure == null) {
                health.succeeded("probe");
            } else {
                health.failed("probe", failure);
            }
        });
    }
}
