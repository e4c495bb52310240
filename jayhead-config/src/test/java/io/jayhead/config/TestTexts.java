package io.jayhead.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads YAML texts from the test resources. */
public final class TestTexts {

    private TestTexts() {}

    public static String read(String name) {
        try (InputStream stream = TestTexts.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
