package io.jayhead.settlement.codec;

import java.util.ArrayList;
import java.util.List;

/** Joins and splits tab-separated fields of a line; percent signs, tabs and line breaks in a field are escaped. */
public final class TextFields {

    private static final String SEPARATOR = "\t";

    private TextFields() {}

    /**
     * Joins fields into a line.
     *
     * @param fields the fields, converted by {@code toString}
     * @return the line without a line break
     */
    public static String join(Object... fields) {
        List<String> escaped = new ArrayList<>();
        for (Object field : fields) {
            escaped.add(field.toString()
                    .replace("%", "%25")
                    .replace("\t", "%09")
                    .replace("\n", "%0A")
                    .replace("\r", "%0D"));
        }
        return String.join(SEPARATOR, escaped);
    }

    /**
     * Splits a line into its fields.
     *
     * @param line the line
     * @param count the number of fields expected
     * @return the unescaped fields
     * @throws IllegalArgumentException if the line does not have {@code count} fields
     */
    public static List<String> split(String line, int count) {
        List<String> fields = new ArrayList<>();
        for (String field : line.split(SEPARATOR, -1)) {
            fields.add(field.replace("%0D", "\r")
                    .replace("%0A", "\n")
                    .replace("%09", "\t")
                    .replace("%25", "%"));
        }
        if (fields.size() != count) {
            throw new IllegalArgumentException("expected " + count + " fields, found " + fields.size() + ": " + line);
        }
        return fields;
    }
}
