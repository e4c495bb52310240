package io.jayhead.standins.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;

/** Converts records to and from JSON. Field names are the component names in snake case. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .setSerializationInclusion(JsonInclude.Include.NON_NULL)
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Writes a value as JSON. Components that are null are left out.
     *
     * @param value the value
     * @return its JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass(), e);
        }
    }

    /**
     * Reads a value from JSON. Unknown fields are ignored.
     *
     * @param text the JSON text
     * @param type the class of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IllegalArgumentException if the text is not valid JSON or does not fit the class
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new IllegalArgumentException("the body is empty");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the body is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }
}
