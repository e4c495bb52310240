package io.jayhead.daemon.charge;

import com.google.common.flogger.FluentLogger;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.ReadResult;

/**
 * Determines the number of partitions of the charge log. Confined to the control thread unless stated otherwise.
 *
 * <p>The number must be the same on every router, because one request could otherwise be charged in two partitions. The
 * first router of a fleet writes its setting to the platform, once; the settings of later routers are ignored.
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
    private boolean callInFlight;

    /**
     * Creates a layout whose number of partitions is still unknown.
     *
     * @param configuredPartitions the number to write if the platform has none
     * @param store reads and creates objects of the platform
     * @param control the thread on which answers of the platform are handled
     * @param monitor tells when the platform may be called
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
     * @return the number of partitions, 0 while it is unknown
     */
    public int partitions() {
        return partitions;
    }

    /**
     * Adopts the number of partitions that a peer read from the platform, unless a number is already known.
     *
     * @param partitionCount the number of partitions
     */
    public void adoptFromPeer(int partitionCount) {
        if (partitions == 0) {
            partitions = partitionCount;
        }
    }

    /** Reads the number from the platform while it is unknown; writes the configured number if there is none. */
    public void refresh() {
        if (partitions > 0 || callInFlight || !monitor.mayTry()) {
            return;
        }
        callInFlight = true;
        store.read(KIND, NAME).thenAccept(result -> control.execute(() -> onRead(result)));
    }

    private void onRead(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            partitions = Integer.parseInt(found.object().body().trim());
            LOGGER.atInfo().log("charge log partitions=%d", partitions);
        }
        if (!(result instanceof ReadResult.Missing)) {
            callInFlight = false;
            return;
        }
        store.create(KIND, NAME, Integer.toString(configuredPartitions))
                .thenAccept(written -> control.execute(() -> {
                    callInFlight = false;
                    refresh();
                }));
    }
}
