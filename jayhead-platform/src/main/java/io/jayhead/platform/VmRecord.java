package io.jayhead.platform;

import io.jayhead.model.AvailabilityZone;
import io.jayhead.model.VmName;

/**
 * Describes a VM as the platform's lagging VM list shows it.
 *
 * @param name the VM
 * @param zone its availability zone
 * @param leaving whether the platform is about to stop it
 */
public record VmRecord(VmName name, AvailabilityZone zone, boolean leaving) {}
