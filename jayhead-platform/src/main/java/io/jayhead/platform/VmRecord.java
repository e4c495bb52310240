package io.jayhead.platform;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;

/**
 * Describes a VM as the platform's VM list shows it; the list lags behind the state of the VM.
 *
 * @param name the VM
 * @param zone its availability zone
 * @param leaving whether the platform is about to stop it
 */
public record VmRecord(VmName name, AvailabilityZone zone, boolean leaving) {}
