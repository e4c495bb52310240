package io.jayhead.daemon.fleet;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.HybridClock;
import io.jayhead.platform.Backoff;
import io.jayhead.platform.PlatformHealth;
import java.util.concurrent.ThreadLocalRandom;

/** Tracks whether the platform counts as down; thread-safe. */
public final class PlatformMonitor {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HybridClock clock;
    /**
     * Spreads the reconnection attempts. With a cap of 10 s, bookings were still refused after an outage had ended.
     * With 3 s and full jitter, 330 routers make about 220 attempts per second.
     */
    private static final Backoff RECONNECT_BACKOFF = new Backoff(200, 3_000);

    private PlatformHealth health = new PlatformHealth(0, 0, RECONNECT_BACKOFF);

    /**
     * Creates a monitor that assumes the platform to be up.
     *
     * @param clock the time source
     */
    public PlatformMonitor(HybridClock clock) {
        this.clock = clock;
    }

    /**
     * Records the result of a call to the platform.
     *
     * @param answered whether the platform gave a usable answer
     */
    public synchronized void record(boolean answered) {
        boolean wasDown = health.isDown();
        health = answered
                ? health.afterSuccess()
                : health.afterFailure(clock.nowMs(), ThreadLocalRandom.current().nextDouble());
        if (wasDown != health.isDown()) {
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
     * Tells whether a periodic call may be made now. During an outage, randomised backoff spreads the calls of the
     * fleet.
     *
     * @return true if the platform is up or the backoff has passed
     */
    public synchronized boolean mayTry() {
        return health.mayTry(clock.nowMs());
    }
}
