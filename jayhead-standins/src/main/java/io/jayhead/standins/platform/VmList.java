package io.jayhead.standins.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/** Holds the VM list with its recent states, so that readers see each change only after a lag. */
final class VmList {

    private record Snapshot(long atMs, TreeMap<String, VmView> vms) {}

    private final long lagMs;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    VmList(long lagMs) {
        this.lagMs = lagMs;
        snapshots.add(new Snapshot(Long.MIN_VALUE, new TreeMap<>()));
    }

    void put(VmView vm, long nowMs) {
        TreeMap<String, VmView> vms = new TreeMap<>(snapshots.getLast().vms());
        vms.put(vm.name(), vm);
        snapshots.addLast(new Snapshot(nowMs, vms));
    }

    boolean remove(String name, long nowMs) {
        TreeMap<String, VmView> vms = new TreeMap<>(snapshots.getLast().vms());
        boolean removed = vms.remove(name) != null;
        snapshots.addLast(new Snapshot(nowMs, vms));
        return removed;
    }

    List<VmView> visible(long nowMs) {
        Snapshot newestVisible = snapshots.removeFirst();
        while (!snapshots.isEmpty() && snapshots.getFirst().atMs() <= nowMs - lagMs) {
            newestVisible = snapshots.removeFirst();
        }
        snapshots.addFirst(newestVisible);
        Collection<VmView> vms = newestVisible.vms().values();
        return List.copyOf(vms);
    }
}
