package io.jayhead.standins.platform;

/**
 * Describes a VM in the VM list.
 *
 * @param name the name of the VM
 * @param availabilityZone the availability zone that it runs in
 * @param state {@code live} or {@code leaving}
 */
public record VmView(String name, String availabilityZone, String state) {

    /** Checks the state. */
    public VmView {
        if (!"live".equals(state) && !"leaving".equals(state)) {
            throw new IllegalArgumentException("state must be live or leaving: " + state);
        }
    }
}
