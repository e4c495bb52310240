package io.jayhead.model;

/**
 * Ranks candidates for a key, so that all processes agree on the order without exchanging messages.
 *
 * <p>This is highest random weight hashing (Thaler and Ravishankar, 1998): the weight of a candidate depends only on
 * its name and the key, so the loss of a candidate moves only the keys that were assigned to it.
 */
public final class RendezvousHash {

    private static final int NAME_FACTOR = 31;

    private RendezvousHash() {}

    /**
     * Returns the weight of a candidate for a key. The finalizer of MurmurHash3 mixes the bits of the hash codes.
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
