package io.jayhead.daemon;

import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.PlatformMonitor;
import io.jayhead.daemon.upstream.RoutingService;
import io.jayhead.model.UpstreamName;
import io.jayhead.platform.ObjectStore;
import io.jayhead.platform.VmListResult;
import io.jayhead.platform.VmRecord;
import io.jayhead.routing.LeavingSource;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Reads the VM list of the platform, and marks an upstream as leaving while the platform is about to stop its VM. An
 * upstream has the same name as its VM.
 */
final class VmListPoller {

    private final ObjectStore store;
    private final RoutingService routing;
    private final ControlThread control;
    private final PlatformMonitor monitor;
    private final Consumer<List<VmRecord>> onListed;

    VmListPoller(
            ObjectStore store,
            RoutingService routing,
            ControlThread control,
            PlatformMonitor monitor,
            Consumer<List<VmRecord>> onListed) {
        this.store = store;
        this.routing = routing;
        this.control = control;
        this.monitor = monitor;
        this.onListed = onListed;
    }

    void poll() {
        if (!monitor.mayTry()) {
            return;
        }
        store.listVms().thenAccept(result -> {
            if (result instanceof VmListResult.Listed listed) {
                Set<UpstreamName> leaving = listed.vms().stream()
                        .filter(VmRecord::leaving)
                        .map(vm -> UpstreamName.of(vm.name().value()))
                        .collect(Collectors.toSet());
                control.execute(() -> {
                    routing.setLeaving(LeavingSource.VM_LIST, leaving);
                    onListed.accept(listed.vms());
                });
            }
        });
    }
}
