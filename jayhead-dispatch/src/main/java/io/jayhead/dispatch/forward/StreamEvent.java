package io.jayhead.dispatch.forward;

import java.util.OptionalLong;

/**
 * Holds one event of a server-sent event stream.
 *
 * @param bytes the unchanged bytes of the event, including the empty line that ends it
 * @param id the value of the id field; empty if the event has none
 */
public record StreamEvent(byte[] bytes, String id) {

    /**
     * Parses the identifier as a number.
     *
     * @return the number, or empty if the identifier is not a decimal number in the range of {@code long}
     */
    public OptionalLong numericId() {
        try {
            return OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException notANumber) {
            return OptionalLong.empty();
        }
    }
}
