package io.jayhead.gateway;

import io.jayhead.gateway.control.ControlTimes;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Holds the settings of a router.
 *
 * @param vmName the name of the VM
 * @param availabilityZone the availability zone
 * @param callersAddress the address on which the router accepts callers
 * @param statusAddress the address of the readiness check and the metrics
 * @param peersAddress the address on which the router accepts other routers
 * @param stopMs the time in milliseconds between the stop signal and the end of the process
 * @param controlTimes the times that the control plane depends on
 * @param linkMbps the capacity of the VM's network link in each direction, in megabits per second; 0 if unknown
 * @param regionByZone the regions of the availability zones
 * @param maxDescriptors the file descriptors that the process may have open; 0 if unknown
 */
public record GatewaySettings(
        String vmName,
        String availabilityZone,
        InetSocketAddress callersAddress,
        InetSocketAddress statusAddress,
        InetSocketAddress peersAddress,
        long stopMs,
        ControlTimes controlTimes,
        double linkMbps,
        Map<String, String> regionByZone,
        int maxDescriptors) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the VM name is blank, the stop time is not positive, or the link capacity is
     *     negative
     */
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
        regionByZone = Map.copyOf(regionByZone);
    }

    /**
     * Creates the settings of a deployment whose availability zones have no known regions.
     *
     * @param vmName the name of the VM
     * @param availabilityZone the availability zone
     * @param callersAddress the address on which the router accepts callers
     * @param statusAddress the address of the readiness check and the metrics
     * @param peersAddress the address on which the router accepts other routers
     * @param stopMs the time in milliseconds between the stop signal and the end of the process
     * @param controlTimes the times that the control plane depends on
     * @param linkMbps the capacity of the VM's network link in each direction, in megabits per second; 0 if unknown
     */
    public GatewaySettings(
            String vmName,
            String availabilityZone,
            InetSocketAddress callersAddress,
            InetSocketAddress statusAddress,
            InetSocketAddress peersAddress,
            long stopMs,
            ControlTimes controlTimes,
            double linkMbps) {
        this(
                vmName,
                availabilityZone,
                callersAddress,
                statusAddress,
                peersAddress,
                stopMs,
                controlTimes,
                linkMbps,
                Map.of(),
                0);
    }
}
