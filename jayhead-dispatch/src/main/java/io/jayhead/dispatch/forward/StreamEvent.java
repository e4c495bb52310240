package io.jayhead.dispatch.forward;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Holds one event of a server-sent event stream.
 *
 * @param bytes the unchanged bytes of the event, including the empty line that ends it
 * @param id the value of the id field; empty if the event has none
 */
public record StreamEvent(byte[] bytes, String id) {

    /** The ends of lines in the format. */
    static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");

    private static final String DATA_FIELD = "data:";

    /**
     * Returns the data of the event.
     *
     * @return the values of the data fields, one line each; empty if there are none
     */
    public String data() {
        return LINE_END.splitAsStream(new String(bytes, StandardCharsets.UTF_8))
                .filter(line -> line.startsWith(DATA_FIELD))
                .map(line -> line.substring(DATA_FIELD.length()).stripLeading())
                .collect(Collectors.joining("\n"));
    }

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
