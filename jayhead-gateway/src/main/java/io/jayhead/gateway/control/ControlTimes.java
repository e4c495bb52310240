package io.jayhead.gateway.control;

/**
 * Holds the times of the deployment that the control plane depends on.
 *
 * @param heartbeatMs the time in milliseconds between two heartbeats by which upstreams stay registered
 * @param reconnectMs the time in milliseconds within which changes must be noticed again after connections were lost
 */
public record ControlTimes(long heartbeatMs, long reconnectMs) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a time is not positive
     */
    public ControlTimes {
        if (heartbeatMs <= 0) {
            throw new IllegalArgumentException("the time between heartbeats is not positive: " + heartbeatMs);
        }
        if (reconnectMs <= 0) {
            throw new IllegalArgumentException("the time to replace connections is not positive: " + reconnectMs);
        }
    }
}
