package io.jayhead.daemon.contract;

/**
 * What differs between rigs.
 *
 * @param platformWritesPerSecond the writes that the platform accepts
 * @param deskDelayMs the time between the execution of a booking and its answer
 */
record RigOptions(String platformWritesPerSecond, String deskDelayMs) {

    static RigOptions standard() {
        return new RigOptions("400", "0");
    }

    RigOptions withDeskDelayMs(long delayMs) {
        return new RigOptions(platformWritesPerSecond, Long.toString(delayMs));
    }

    RigOptions withPlatformWritesPerSecond(int writes) {
        return new RigOptions(Integer.toString(writes), deskDelayMs);
    }
}
