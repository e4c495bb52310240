package io.jayhead.gateway;

import java.net.InetSocketAddress;

/**
 * What a router learns from its settings.
 *
 * @param vmName the name of the VM
 * @param availabilityZone the availability zone
 * @param callers the address for callers
 * @param status the address of the readiness check and the metrics
 * @param peers the address for other routers
 * @param stopMs the time between the signal to stop and the end of the process
 */
public record GatewaySettings(
        String vmName,
        String availabilityZone,
        InetSocketAddress callers,
        InetSocketAddress status,
        InetSocketAddress peers,
        long stopMs) {

    /** Checks the values. */
    public GatewaySettings {
        if (vmName.isBlank()) {
            throw new IllegalArgumentException("the VM name is empty");
        }
        if (stopMs <= 0) {
            throw new IllegalArgumentException("the stop time is not positive: " + stopMs);
        }
    }
}
