package io.jayhead.model;

/**
 * Ranks candidates for a key so that all processes agree without messages.
 *
 * <p>Highest random weight hashing (Thaler and Ravishankar, 1998): each candidate gets a weight from its own name and
 * the key, and the loss of one candidate moves only the keys that it had.
 */
public final class RendezvousHash {

    private static final int NAME_FACTOR = 31;

    private RendezvousHash() {}

    /**
     * Returns the weight of a candidate, mixed by the finalizer of MurmurHash3.
     *
     * @param candidate the name of the candidate
     * @param key the key
     * @return the weight; candidates with lower weights are ranked first
     */
    public static int weight(String candidate, String key) {
        int hash = candidate.hashCode() * NAME_FACTOR + key.hashCode();
        hash ^= hash >>> 16;
        hash *= 0x85ebca6b;
        hash ^= hash >>> 13;
        hash *= 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }
}
