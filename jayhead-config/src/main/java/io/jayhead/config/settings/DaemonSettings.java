package io.jayhead.config.settings;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Holds the settings of one daemon.
 *
 * @param vm the VM that the daemon runs on
 * @param availabilityZone the availability zone of the VM
 * @param region the region of the VM
 * @param callersAddress where callers connect
 * @param operatorsAddress where operators connect
 * @param peersAddress where other routers connect
 * @param advertisedPeersAddress the address under which other routers reach this one
 * @param seedPeers peer addresses to ask while the platform is down at start
 * @param platformAddress the base URL of the platform
 * @param operatorCredentialSha256 the SHA-256 digest of the operators' credential in lower-case hexadecimal
 * @param chargePartitions the number of partitions of the charge log; the same on every router of a fleet
 * @param freshnessLimitMs the longest time since the last confirmation of the configuration
 * @param grantInitialTokens the size of the first grant of a budget
 * @param reclaimAfterMs how long a router is gone before its grants are reclaimed and its registration removed
 * @param shutdownLimitMs the longest time of a graceful shutdown
 * @param peerHeartbeatMs the time between heartbeats to a peer
 * @param upstreamPollMs the time between load reports of an upstream
 * @param upstreamFreshnessMs the age at which the state of an upstream counts as unknown
 * @param chargeLingerMs the time that a charge waits for others to share its write
 * @param firstByteTimeoutMs the longest wait for the first byte of an upstream
 * @param betweenTokensTimeoutMs the longest wait between two tokens
 * @param queueLimit the most requests that wait
 * @param logLevel the level of the log
 */
public record DaemonSettings(
        VmName vm,
        AvailabilityZone availabilityZone,
        String region,
        InetSocketAddress callersAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        InetSocketAddress advertisedPeersAddress,
        List<InetSocketAddress> seedPeers,
        String platformAddress,
        String operatorCredentialSha256,
        int chargePartitions,
        long freshnessLimitMs,
        long grantInitialTokens,
        long reclaimAfterMs,
        long shutdownLimitMs,
        long peerHeartbeatMs,
        long upstreamPollMs,
        long upstreamFreshnessMs,
        long chargeLingerMs,
        long firstByteTimeoutMs,
        long betweenTokensTimeoutMs,
        int queueLimit,
        LogLevel logLevel) {

    /** Copies the list. */
    public DaemonSettings {
        seedPeers = List.copyOf(seedPeers);
    }
}
