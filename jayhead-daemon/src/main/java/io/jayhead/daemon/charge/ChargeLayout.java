package io.jayhead.daemon.charge;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;

/**
 * Knows the number of partitions of the charge log.
 *
 * <p>The number must be the same on every router, or one request could be charged in two partitions. The first router
 * of a fleet writes it once to the platform; the setting of a later router does not count.
 */
public final class ChargeLayout {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String KIND = "charge-layout";
    private static final String NAME = "current";

    private final int configuredPartitions;
    private final ObjectStore store;
    private final ControlThread control;
    private final PlatformMonitor monitor;
    private volatile int partitions;
    private boolean busy;

    /**
     * Creates a layout that is not known yet.
     *
     * @param configuredPartitions the number to write if there is none
     * @param store the platform
     * @param control the control thread
     * @param monitor whether the platform is down
     */
    public ChargeLayout(int configuredPartitions, ObjectStore store, ControlThread control, PlatformMonitor monitor) {
        this.configuredPartitions = configuredPartitions;
        this.store = store;
        this.control = control;
        this.monitor = monitor;
    }

    /**
     * Returns the number of partitions; may be called from any thread.
     *
     * @return the number, 0 while it is unknown
     */
    public int partitions() {
        return partitions;
    }

    /**
     * Takes the number that a peer read from the platform.
     *
     * @param number the number
     */
    public void learned(int number) {
        if (partitions == 0) {
            partitions = number;
        }
    }

    /** Reads the number, or writes it if there is none. */
    public void refresh() {
        if (partitions > 0 || busy || !monitor.mayTry()) {
            return;
        }
        busy = true;
        store.read(KIND, NAME).thenAccept(result -> control.execute(() -> received(result)));
    }

    private void received(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            partitions = Integer.parseInt(found.object().body().trim());
            LOGGER.atInfo().log("charge log partitions=%d", partitions);
        }
        if (!(result instanceof ReadResult.Missing)) {
            busy = false;
            return;
        }
        store.create(KIND, NAME, Integer.toString(configuredPartitions))
                .thenAccept(written -> control.execute(() -> {
                    busy = false;
                    refresh();
                }));
    }
}
