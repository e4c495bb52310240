package io.jayhead.dispatch.forward;

import java.util.OptionalLong;

/**
 * One event of a stream.
 *
 * @param bytes the event with its closing empty line
 * @param id the identifier; empty if the event has none
 */
public record StreamEvent(byte[] bytes, String id) {

    /**
     * Returns the identifier as a number.
     *
     * @return the number, or empty if the identifier is not one
     */
    public OptionalLong number() {
        try {
            return OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }
}
