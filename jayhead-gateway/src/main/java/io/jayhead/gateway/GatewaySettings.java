package io.jayhead.gateway;

import java.net.InetSocketAddress;

/**
 * Holds the settings of a router.
 *
 * @param vmName the name of the VM
 * @param availabilityZone the availability zone
 * @param callersAddress the address on which the router accepts callers
 * @param statusAddress the address of the readiness check and the metrics
 * @param peersAddress the address on which the router accepts other routers
 * @param stopMs the time in milliseconds between the stop signal and the end of the process
 * @param heartbeatMs the time in milliseconds between two heartbeats by which upstreams stay registered
 * @param linkMbps the capacity of the VM's network link in each direction, in megabits per second; 0 if unknown
 */
public record GatewaySettings(
        String vmName,
        String availabilityZone,
        InetSocketAddress callersAddress,
        InetSocketAddress statusAddress,
        InetSocketAddress peersAddress,
        long stopMs,
        long heartbeatMs,
        double linkMbps) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the VM name is blank, the stop time or the time between heartbeats is not
     *     positive, or the link capacity is negative
     */
    public GatewaySettings {
        if (vmName.isBlank()) {
            throw new IllegalArgumentException("the VM name is empty");
        }
        if (linkMbps < 0) {
            throw new IllegalArgumentException("the capacity of the link is negative: " + linkMbps);
        }
        if (heartbeatMs <= 0) {
            throw new IllegalArgumentException("the time between heartbeats is not positive: " + heartbeatMs);
        }
        if (stopMs <= 0) {
            throw new IllegalArgumentException("the stop time is not positive: " + stopMs);
        }
    }
}
