package io.jayhead.admission.prepaid;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Sorts the VMs by what is known of their routers in the time that the platform has lost.
 *
 * @param continuousVms the VMs whose router reports and ran all the time, so that its predecessors ended before
 * @param replicatedVms the VMs whose router may have ended or is silent, but one of whose replicas ran all the time
 * @param unknownVms the VMs whose router may have ended or is silent, and whose replicas did not run all the time
 */
record LostRouters(Set<String> continuousVms, Set<String> replicatedVms, Set<String> unknownVms) {

    /** Returns the number of all known VMs. */
    int fleetSize() {
        return continuousVms.size() + replicatedVms.size() + unknownVms.size();
    }

    /**
     * Sorts the VMs of all known routers. In the first era nothing is lost.
     *
     * @param reports the newest reports, by VM
     * @param era the era in which reports count
     * @return the sorted VMs
     */
    static LostRouters of(Map<String, LedgerReport> reports, long era) {
        if (era <= LedgerPages.FIRST_ERA) {
            return new LostRouters(reports.keySet(), Set.of(), Set.of());
        }
        Set<String> continuous = new HashSet<>();
        Set<String> unknown = new TreeSet<>(reports.keySet());
        reports.forEach((vmName, report) -> {
            if (report.era() == era && report.continuity() == Continuity.CONTINUOUS) {
                continuous.add(vmName);
            }
        });
        unknown.removeAll(continuous);
        Set<String> replicated = new HashSet<>(unknown);
        replicated.removeIf(vmName -> ReplicaChoice.successors(vmName, reports.keySet()).stream()
                .limit(ReplicaChoice.REPLICAS)
                .noneMatch(continuous::contains));
        unknown.removeAll(replicated);
        return new LostRouters(continuous, replicated, unknown);
    }
}
