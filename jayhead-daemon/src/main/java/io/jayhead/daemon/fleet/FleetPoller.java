package io.jayhead.daemon.fleet;

import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Polls the platform for the configuration. Confined to the control thread.
 *
 * <p>A router polls only if the last platform confirmation, its own or one relayed by a peer, is older than a randomly
 * chosen age. The whole fleet therefore makes about as many reads as a single router would, and no router keeps a watch
 * request pending at the platform.
 */
public final class FleetPoller {

    /** The kind of the platform object with the configuration. */
    static final String KIND = "fleet";

    /** The name of the platform object with the configuration. */
    static final String NAME = "current";

    private static final long POLL_AGE_MIN_MS = 300;

    /**
     * Together with the duration of a call, takes about half of the default freshness limit of 2 s. The other half
     * remains for relaying the result through peers.
     */
    private static final long POLL_AGE_MAX_MS = 800;

    private final Configuration configuration;
    private final ControlThread control;
    private final HybridClock clock;
    private final ObjectStore store;
    private final PlatformMonitor monitor;
    private long pollAgeMs = POLL_AGE_MIN_MS;
    private boolean callInFlight;

    /**
     * Creates a poller.
     *
     * @param configuration the configuration to keep fresh
     * @param control the thread on which answers of the platform are handled
     * @param clock the time source
     * @param store reads objects of the platform
     * @param monitor tells when the platform may be called, and records whether it answers
     */
    public FleetPoller(
            Configuration configuration,
            ControlThread control,
            HybridClock clock,
            ObjectStore store,
            PlatformMonitor monitor) {
        this.configuration = configuration;
        this.control = control;
        this.clock = clock;
        this.store = store;
        this.monitor = monitor;
    }

    /**
     * Reads the configuration if the platform has not confirmed it yet or the last confirmation is old enough. Does
     * nothing while a read is in flight or while backoff holds back calls to the platform.
     */
    public void pollIfDue() {
        OptionalLong ageMs = configuration.platformAgeMs();
        boolean due = ageMs.isEmpty() || ageMs.getAsLong() >= pollAgeMs;
        if (callInFlight || !due || !monitor.mayTry()) {
            return;
        }
        callInFlight = true;
        pollAgeMs = ThreadLocalRandom.current().nextLong(POLL_AGE_MIN_MS, POLL_AGE_MAX_MS);
        long sentAtMs = clock.nowMs();
        store.read(KIND, NAME).thenAccept(result -> control.execute(() -> onRead(result, sentAtMs)));
    }

    private void onRead(ReadResult result, long sentAtMs) {
        callInFlight = false;
        monitor.record(!(result instanceof ReadResult.Unavailable));
        if (result instanceof ReadResult.Found found) {
            FleetDocument document = FleetDocument.decode(found.object().body());
            configuration.adopt(document, "platform");
            configuration.platformConfirmed(document.version(), sentAtMs);
        }
    }
}
