package io.jayhead.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.platform.Backoff;
import io.jayhead.platform.PlatformHealth;
import java.util.concurrent.ThreadLocalRandom;

/** Keeps whether the platform counts as down; used by all threads. */
public final class PlatformMonitor {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HybridClock clock;
    /** With full jitter, 330 routers make about 220 attempts a second; 10 s kept bookings refused after an outage. */
    private static final Backoff RECONNECT = new Backoff(200, 3_000);

    private PlatformHealth health = new PlatformHealth(0, 0, RECONNECT);

    /**
     * Creates a monitor of a platform that is not known to be down.
     *
     * @param clock the clock
     */
    public PlatformMonitor(HybridClock clock) {
        this.clock = clock;
    }

    /**
     * Records the result of a call.
     *
     * @param answered whether the platform answered
     */
    public synchronized void record(boolean answered) {
        boolean before = health.isDown();
        health = answered
                ? health.afterSuccess()
                : health.afterFailure(clock.nowMs(), ThreadLocalRandom.current().nextDouble());
        if (before != health.isDown()) {
            LOGGER.atWarning().log("platform down=%s", health.isDown());
        }
    }

    /**
     * Tells whether the platform counts as down.
     *
     * @return true after several failures in a row
     */
    public synchronized boolean isDown() {
        return health.isDown();
    }

    /**
     * Tells whether a periodic call may be made now; during an outage the calls of the fleet are spread by backoff.
     *
     * @return true if it may
     */
    public synchronized boolean mayTry() {
        return health.mayTry(clock.nowMs());
    }
}
