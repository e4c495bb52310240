package io.jayhead.load.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.EnumFeature;

/** Renders a report as JSON. */
public final class JsonReport {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(SerializationFeature.INDENT_OUTPUT)
            .configure(EnumFeature.WRITE_ENUMS_TO_LOWERCASE, true);

    private JsonReport() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return indented JSON that ends with a line feed
     */
    public static String of(RunReport report) {
        try {
            return MAPPER.writeValueAsString(report) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the report, which contains only numbers and texts", e);
        }
    }
}
