package io.jayhead.admission.prepaid;

/**
 * Identifies one incarnation of a router in ledger pages.
 *
 * @param vmName the name of the VM
 * @param startedAtEpochMs the start time of the process; orders the incarnations of a VM if its clock does not go back
 * @param nonce a random text that distinguishes incarnations even if their start times are equal
 */
public record Holder(String vmName, long startedAtEpochMs, String nonce) {

    private static final String SEPARATOR = "/";
    /** The nonce in the entries of incarnations whose names nobody knows. */
    private static final String UNKNOWN_INCARNATION = "unknown";

    /**
     * Validates that the name can be parsed again.
     *
     * @throws IllegalArgumentException if the VM name or the nonce contains a slash
     */
    public Holder {
        if (vmName.contains(SEPARATOR) || nonce.contains(SEPARATOR)) {
            throw new IllegalArgumentException("a part of a holder contains a slash: " + vmName + ", " + nonce);
        }
    }

    /**
     * Returns the holder that stands for the unknown incarnations of a VM.
     *
     * @param vmName the name of the VM
     * @return the holder, older than any incarnation
     */
    static Holder unknown(String vmName) {
        return new Holder(vmName, 0, UNKNOWN_INCARNATION);
    }

    /**
     * Returns the name in ledger pages, see {@link #of(String)}.
     *
     * @return the VM name, the start time and the nonce, separated by slashes
     */
    public String name() {
        return vmName + SEPARATOR + startedAtEpochMs + SEPARATOR + nonce;
    }

    /**
     * Parses a name from a ledger page.
     *
     * @param name the name
     * @return the holder; a name in another format becomes the VM name, with dashes for slashes, start time 0 and an
     *     empty nonce
     */
    public static Holder of(String name) {
        String[] parts = name.split(SEPARATOR);
        if (parts.length != 3 || !parts[1].matches("\\d{1,18}")) {
            return new Holder(name.replace(SEPARATOR, "-"), 0, "");
        }
        return new Holder(parts[0], Long.parseLong(parts[1]), parts[2]);
    }
}
