package io.jayhead.standins.booking;

/**
 * Holds the settings of the booking stand-in.
 *
 * @param name its name in log lines
 * @param delayMs the time in milliseconds between the execution of a booking and its response
 */
public record BookingOptions(String name, long delayMs) {

    /** Rejects a negative delay. */
    public BookingOptions {
        if (delayMs < 0) {
            throw new IllegalArgumentException("delay-ms must not be negative: " + delayMs);
        }
    }
}
