package io.jayhead.daemon.contract;

/**
 * The settings in which rigs differ.
 *
 * @param routers the number of routers
 * @param platformWritesPerSecond the number of writes that the platform accepts each second
 * @param bookingDelayMs the time in milliseconds between the execution of a booking and its answer
 */
record RigOptions(int routers, String platformWritesPerSecond, String bookingDelayMs) {

    static RigOptions standard() {
        return new RigOptions(1, "400", "0");
    }

    RigOptions withRouters(int number) {
        return new RigOptions(number, platformWritesPerSecond, bookingDelayMs);
    }

    RigOptions withBookingDelayMs(long delayMs) {
        return new RigOptions(routers, platformWritesPerSecond, Long.toString(delayMs));
    }

    RigOptions withPlatformWritesPerSecond(int writes) {
        return new RigOptions(routers, Integer.toString(writes), bookingDelayMs);
    }
}
