package io.jayhead.admission.freshness;

import io.jayhead.model.VmName;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Holds the member lists that are in force: the newest list, and every older one that another router may still use.
 *
 * <p>A decision needs a majority of each list. An older list is dropped once a majority of its members holds a newer
 * list: from then on no router can gather a majority of the older list, because these members no longer count for it.
 * The router that drops the list must have adopted the versions of these members, so that no accepted version is lost.
 *
 * @param lists the lists, oldest first, not empty
 */
public record MemberLists(List<MemberList> lists) {

    /** Copies the lists. */
    public MemberLists {
        lists = List.copyOf(lists);
    }

    /**
     * Returns the lists of a router that holds a single list.
     *
     * @param list the list
     * @return the lists
     */
    public static MemberLists of(MemberList list) {
        return new MemberLists(List.of(list));
    }

    /**
     * Returns the newest list.
     *
     * @return the list
     */
    public MemberList newest() {
        return lists.get(lists.size() - 1);
    }

    /**
     * Adds a newer list, which replaces the newest one if both have the same members. A list that is not newer changes
     * nothing.
     *
     * @param list the list
     * @return the new lists
     */
    public MemberLists with(MemberList list) {
        if (list.revision() <= newest().revision()) {
            return this;
        }
        if (list.members().equals(newest().members())) {
            return new MemberLists(replacedNewest(list));
        }
        List<MemberList> next = new ArrayList<>(lists);
        next.add(list);
        return new MemberLists(next);
    }

    /**
     * Tells whether the given routers are a majority of every list in force.
     *
     * @param routers the routers; those that are on no list do not count
     * @return true if they contain a majority of each list
     */
    public boolean hasMajorityIn(Set<VmName> routers) {
        return lists.stream().allMatch(list -> list.hasMajorityIn(routers));
    }

    /**
     * Drops the older lists that no router can use any more.
     *
     * @param knownRevision returns the newest list revision that a router is known to hold, {@link Long#MIN_VALUE} if
     *     unknown
     * @return the new lists
     */
    public MemberLists pruned(ToLongFunction<VmName> knownRevision) {
        List<MemberList> kept = new ArrayList<>();
        for (int index = 0; index < lists.size() - 1; index++) {
            MemberList list = lists.get(index);
            long nextRevision = lists.get(index + 1).revision();
            long membersWithNewerList = list.members().stream()
                    .filter(member -> knownRevision.applyAsLong(member) >= nextRevision)
                    .count();
            if (membersWithNewerList < list.majority()) {
                kept.add(list);
            }
        }
        kept.add(newest());
        return new MemberLists(kept);
    }

    private List<MemberList> replacedNewest(MemberList list) {
        List<MemberList> next = new ArrayList<>(lists.subList(0, lists.size() - 1));
        next.add(list);
        return next;
    }
}
