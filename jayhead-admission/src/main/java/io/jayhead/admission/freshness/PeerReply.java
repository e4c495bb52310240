package io.jayhead.admission.freshness;

import io.jayhead.model.Checks;
import io.jayhead.model.VmName;
import java.util.OptionalLong;

/**
 * Holds the reply of a peer to a heartbeat.
 *
 * @param peer the peer
 * @param version the configuration version that the peer adopted, 0 if none
 * @param listRevision the revision of the newest member list that the peer holds
 * @param sentAtMs the time at which the heartbeat was sent
 * @param platformAgeMs the age of the platform's confirmation of this version at the peer, empty if it has none
 */
public record PeerReply(VmName peer, long version, long listRevision, long sentAtMs, OptionalLong platformAgeMs) {

    /**
     * Validates the age.
     *
     * @throws IllegalArgumentException if the age is negative
     */
    public PeerReply {
        platformAgeMs.ifPresent(ageMs -> Checks.requireNotNegative(ageMs, "platformAgeMs"));
    }
}
