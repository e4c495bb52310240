package io.jayhead.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Reads the API keys by organisation: one {@code organisation api-key} a line; {@code #} starts a comment line. */
final class Credentials {

    private static final int FIELDS = 2;

    private Credentials() {}

    static Map<String, String> read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new UsageException("cannot read the credentials file: " + e.getMessage());
        }
    }

    static Map<String, String> parse(String text) {
        Map<String, String> keys = new TreeMap<>();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] fields = line.strip().split("\\s+");
            if (fields.length != FIELDS) {
                throw new UsageException("credentials, line " + number + ": expected an organisation and an API key");
            }
            keys.put(fields[0], fields[1]);
        }
        return keys;
    }
}
