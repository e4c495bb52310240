package io.jayhead.admission.freshness;

/** Says that a version was the platform's current one at a time. */
record Confirmation(long version, long asOfMs) {

    /** Keeps the confirmation of the higher version, and of the same version the later one. */
    Confirmation latest(Confirmation other) {
        if (version != other.version) {
            return version > other.version ? this : other;
        }
        return asOfMs >= other.asOfMs ? this : other;
    }
}
