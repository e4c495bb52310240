package io.jayhead.platform;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Collects the fields of an object in an answer of the platform that routers read, as texts. */
final class JsonFields {

    private static final Set<String> KNOWN =
            Set.of("name", "version", "body", "deleted", "revision", "availability_zone", "state");

    private final Map<String, String> texts = new HashMap<>();

    /** Reads the value at the current token of a parser, up to its last token; a list or an object has no text. */
    void readValue(String name, JsonParser parser) throws IOException {
        if (KNOWN.contains(name) && parser.currentToken().isScalarValue()) {
            texts.put(name, parser.getText());
        }
        parser.skipChildren();
    }

    /**
     * Returns the text of a field.
     *
     * @throws IOException if the field is missing or has no text
     */
    String text(String name) throws IOException {
        String text = texts.get(name);
        if (text == null) {
            throw new IOException("answer without field " + name);
        }
        return text;
    }

    /**
     * Returns the number of a field.
     *
     * @throws IOException if the field is missing or no integer
     */
    long number(String name) throws IOException {
        try {
            return Long.parseLong(text(name));
        } catch (NumberFormatException notANumber) {
            throw new IOException("field " + name + " is no integer", notANumber);
        }
    }

    /** Returns the number of a field; 0 if it is missing. */
    long numberOrZero(String name) throws IOException {
        return texts.containsKey(name) ? number(name) : 0;
    }

    /** Tells whether a field is true. */
    boolean isTrue(String name) {
        return Boolean.parseBoolean(texts.get(name));
    }
}
