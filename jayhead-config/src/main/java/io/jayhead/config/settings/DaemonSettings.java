package io.jayhead.config.settings;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Holds the settings of one router daemon.
 *
 * @param vm the VM that the daemon runs on
 * @param availabilityZone the availability zone of the VM
 * @param region the region of the VM
 * @param callersAddress the address on which the router listens for callers
 * @param operatorsAddress the address on which the router listens for operators
 * @param peersAddress the address on which the router listens for other routers
 * @param advertisedPeersAddress the address at which other routers connect to this router
 * @param seedPeers the addresses of peers to contact if the platform is down at start; may be empty
 * @param platformAddress the base URL of the platform
 * @param operatorCredentialSha256 the SHA-256 digest of the operators' credential in lower-case hexadecimal
 * @param chargePartitions the number of partitions of the charge log; must be the same on every router of a fleet
 * @param freshnessLimitMs how long the configuration may be used after the platform or a majority of the routers last
 *     confirmed its version
 * @param grantInitialTokens the number of tokens in the first grant from a budget
 * @param reclaimAfterMs how long other routers must have found a router gone before one of them reclaims its grants and
 *     removes its registration
 * @param shutdownLimitMs the longest time that a graceful shutdown may take
 * @param peerHeartbeatMs the interval between heartbeats to a peer
 * @param upstreamPollMs the interval between polls of an upstream's load
 * @param upstreamFreshnessMs the age at which the state of an upstream is treated as unknown
 * @param chargeLingerMs how long a charge waits for further charges, which are then written together with it
 * @param firstByteTimeoutMs the longest wait for the first byte of an upstream's response
 * @param betweenTokensTimeoutMs the longest wait between two tokens of a stream
 * @param queueLimit the maximum number of waiting requests, both in total and for each organisation
 * @param logLevel the least severe level that is logged
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

    /** Copies the list of seed peers. */
    public DaemonSettings {
        seedPeers = List.copyOf(seedPeers);
    }
}
