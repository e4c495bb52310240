package io.jayhead.daemon.fleet;

import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reads the configuration from the platform; belongs to the control thread.
 *
 * <p>It reads only while the last confirmation by the platform, its own or one that a peer passed on, is older than a
 * random age. So a fleet makes about as many reads as one router would, and no watch has to wait at the platform.
 */
public final class FleetPoller {

    /** The kind and the name of the platform object. */
    static final String KIND = "fleet";

    static final String NAME = "current";

    private static final long POLL_AGE_MIN_MS = 300;

    /** With the time of a call, half the freshness limit of 2 s stays for the relay by peers. */
    private static final long POLL_AGE_MAX_MS = 800;

    private final Configuration configuration;
    private final ControlThread control;
    private final HybridClock clock;
    private final ObjectStore store;
    private final PlatformMonitor monitor;
    private long pollAgeMs = POLL_AGE_MIN_MS;
    private boolean reading;

    /**
     * Creates a poller.
     *
     * @param configuration the configuration to keep current
     * @param control the control thread
     * @param clock the clock
     * @param store the platform
     * @param monitor whether the platform is down
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

    /** Reads the configuration if it is time. */
    public void pollIfDue() {
        OptionalLong ageMs = configuration.platformAgeMs();
        boolean due = ageMs.isEmpty() || ageMs.getAsLong() >= pollAgeMs;
        if (reading || !due || !monitor.mayTry()) {
            return;
        }
        reading = true;
        pollAgeMs = ThreadLocalRandom.current().nextLong(POLL_AGE_MIN_MS, POLL_AGE_MAX_MS);
        long sentAtMs = clock.nowMs();
        store.read(KIND, NAME).thenAccept(result -> control.execute(() -> received(result, sentAtMs)));
    }

    private void received(ReadResult result, long sentAtMs) {
        reading = false;
        monitor.record(!(result instanceof ReadResult.Unavailable));
        if (result instanceof ReadResult.Found found) {
            FleetDocument document = FleetDocument.decode(found.object().body());
            configuration.adopt(document, "platform");
            configuration.platformConfirmed(document.version(), sentAtMs);
        }
    }
}
