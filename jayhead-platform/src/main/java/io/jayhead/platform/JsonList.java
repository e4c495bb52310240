package io.jayhead.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds an answer of the platform with a list of objects, whose values are all texts, numbers or booleans. Values of
 * other fields are passed over without being read into a tree, since an object of another writer may have very many.
 *
 * @param header the fields beside the list
 * @param entries the objects of the list
 */
record JsonList(JsonFields header, List<JsonFields> entries) {

    /** Keeps no names of fields, which may be the choice of other writers. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    /** Makes an immutable copy of the entries. */
    JsonList {
        entries = List.copyOf(entries);
    }

    /**
     * Reads an answer.
     *
     * @param body the text of the answer
     * @param listField the field that holds the list
     * @return the list
     * @throws IOException if the text is no JSON object, or lacks the list or an object in it
     */
    static JsonList read(String body, String listField) throws IOException {
        try (JsonParser parser = FACTORY.createParser(body)) {
            require(parser.nextToken() == JsonToken.START_OBJECT, "the answer is no object");
            JsonFields header = new JsonFields();
            List<JsonFields> entries = null;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals(listField)) {
                    entries = readEntries(parser, listField);
                } else {
                    header.readValue(name, parser);
                }
            }
            require(entries != null, "answer without field " + listField);
            return new JsonList(header, entries);
        }
    }

    private static List<JsonFields> readEntries(JsonParser parser, String listField) throws IOException {
        require(parser.hasToken(JsonToken.START_ARRAY), "the field " + listField + " is no list");
        List<JsonFields> entries = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            require(parser.hasToken(JsonToken.START_OBJECT), "an entry of " + listField + " is no object");
            JsonFields entry = new JsonFields();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                entry.readValue(name, parser);
            }
            entries.add(entry);
        }
        return entries;
    }

    private static void require(boolean holds, String otherwise) throws IOException {
        if (!holds) {
            throw new IOException(otherwise);
        }
    }
}
