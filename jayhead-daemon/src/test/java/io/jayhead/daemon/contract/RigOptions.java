package io.jayhead.daemon.contract;

/**
 * What differs between rigs.
 *
 * @param routers the number of routers
 * @param platformWritesPerSecond the writes that the platform accepts
 * @param deskDelayMs the time between the execution of a booking and its answer
 */
record RigOptions(int routers, String platformWritesPerSecond, String deskDelayMs) {

    static RigOptions standard() {
        return new RigOptions(1, "400", "0");
    }

    RigOptions withRouters(int number) {
        return new RigOptions(number, platformWritesPerSecond, deskDelayMs);
    }

    RigOptions withDeskDelayMs(long delayMs) {
        return new RigOptions(routers, platformWritesPerSecond, Long.toString(delayMs));
    }

    RigOptions withPlatformWritesPerSecond(int writes) {
        return new RigOptions(routers, Integer.toString(writes), deskDelayMs);
    }
}
