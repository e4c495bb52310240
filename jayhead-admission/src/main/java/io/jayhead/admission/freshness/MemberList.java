package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.Set;

/**
 * Holds the registered routers as of a revision of the platform.
 *
 * @param revision the revision at which the list was read, higher for a later list
 * @param members the registered routers
 */
public record MemberList(long revision, Set<VmName> members) {

    /** Copies the set. */
    public MemberList {
        members = Set.copyOf(members);
    }

    /**
     * Returns the number of members that is a majority.
     *
     * @return more than half of the members
     */
    public int majority() {
        return members.size() / 2 + 1;
    }

    boolean hasMajorityIn(Set<VmName> routers) {
        return members.stream().filter(routers::contains).count() >= majority();
    }
}
