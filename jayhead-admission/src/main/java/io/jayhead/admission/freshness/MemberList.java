package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.Set;

/**
 * Holds the routers that are registered at a revision of the platform.
 *
 * @param revision the revision at which the list was read; newer lists have higher revisions
 * @param members the registered routers
 */
public record MemberList(long revision, Set<VmName> members) {

    /** Copies the set. */
    public MemberList {
        members = Set.copyOf(members);
    }

    /**
     * Returns the size of a majority.
     *
     * @return the smallest number that is more than half of the members
     */
    public int majority() {
        return members.size() / 2 + 1;
    }

    boolean hasMajorityIn(Set<VmName> routers) {
        return members.stream().filter(routers::contains).count() >= majority();
    }
}
