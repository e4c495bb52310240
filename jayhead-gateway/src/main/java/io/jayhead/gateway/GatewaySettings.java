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
 * @param linkMbps the capacity of the VM's link in each direction, in megabits per second; 0 if it is not known
 */
public record GatewaySettings(
        String vmName,
        String availabilityZone,
        InetSocketAddress callers,
        InetSocketAddress status,
        InetSocketAddress peers,
        long stopMs,
        double linkMbps) {

    /** Checks the values. */
    public GatewaySettings {
        if (vmName.isBlank()) {
            throw new IllegalArgumentException("the VM name is empty");
        }
        if (linkMbps < 0) {
            throw new IllegalArgumentException("the capacity of the link is negative: " + linkMbps);
        }
        if (stopMs <= 0) {
            throw new IllegalArgumentException("the stop time is not positive: " + stopMs);
        }
    }
}
