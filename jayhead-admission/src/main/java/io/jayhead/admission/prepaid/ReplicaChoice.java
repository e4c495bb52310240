package io.jayhead.admission.prepaid;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Chooses the routers that keep replicas of the ledger entries of another one. */
public final class ReplicaChoice {

    /** Two replicas tolerate the loss of one together with the router itself. */
    public static final int REPLICAS = 2;

    private ReplicaChoice() {}

    /**
     * Returns the other routers in the order in which they are chosen. Each router starts at its own name, so that all
     * routers are replicas of equally many others.
     *
     * @param vmName the VM of the router whose replicas are chosen
     * @param vmNames the VMs of all routers
     * @return the VMs that follow in the order of the names, and then those before it
     */
    public static List<String> successors(String vmName, Collection<String> vmNames) {
        Comparator<String> precedingLast = Comparator.comparing(name -> name.compareTo(vmName) < 0);
        return vmNames.stream()
                .filter(name -> !name.equals(vmName))
                .sorted(precedingLast.thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
