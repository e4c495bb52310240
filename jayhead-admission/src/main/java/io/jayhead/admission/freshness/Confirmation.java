package io.jayhead.admission.freshness;

/** Records that a configuration version was the platform's current one at a point in time. */
record Confirmation(long version, long asOfMs) {

    /** Returns the confirmation of the higher version, or the later of two confirmations of the same version. */
    Confirmation latest(Confirmation other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        return asOfMs >= other.asOfMs ? this : other;
    }
}
