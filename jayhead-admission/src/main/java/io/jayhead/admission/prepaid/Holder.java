package io.jayhead.admission.prepaid;

/**
 * One incarnation of a router, as ledger pages name it.
 *
 * @param vmName the name of the VM
 * @param startedAtEpochMs the start of the process; orders the incarnations of a VM as far as its clock allows
 * @param nonce a random text that tells incarnations apart whatever the clock says
 */
public record Holder(String vmName, long startedAtEpochMs, String nonce) {

    private static final String SEPARATOR = "/";

    /** Checks that the parts can be told apart again. */
    public Holder {
        if (vmName.contains(SEPARATOR) || nonce.contains(SEPARATOR)) {
            throw new IllegalArgumentException("a part of a holder contains a slash: " + vmName + ", " + nonce);
        }
    }

    /**
     * Returns the name in ledger pages.
     *
     * @return VM, start and nonce
     */
    public String name() {
        return vmName + SEPARATOR + startedAtEpochMs + SEPARATOR + nonce;
    }

    /**
     * Reads a name from a ledger page.
     *
     * @param name the name
     * @return the holder; a name of another form counts as a VM without a start
     */
    public static Holder of(String name) {
        String[] parts = name.split(SEPARATOR);
        if (parts.length != 3 || !parts[1].matches("\\d{1,18}")) {
            return new Holder(name.replace(SEPARATOR, "-"), 0, "");
        }
        return new Holder(parts[0], Long.parseLong(parts[1]), parts[2]);
    }
}
