package io.jayhead.platform;

import java.util.List;

/** Gives the outcome of reading the VM list. */
public sealed interface VmListResult permits VmListResult.Listed, VmListResult.Unavailable {

    /**
     * The VMs were listed; the list lags behind their state.
     *
     * @param vms the VMs
     */
    record Listed(List<VmRecord> vms) implements VmListResult {

        /** Copies the list. */
        public Listed {
            vms = List.copyOf(vms);
        }
    }

    /**
     * The platform gave no usable answer.
     *
     * @param reason the cause, for logs
     */
    record Unavailable(String reason) implements VmListResult {}
}
