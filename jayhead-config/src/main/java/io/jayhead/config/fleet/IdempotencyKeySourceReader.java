package io.jayhead.config.fleet;

import io.jayhead.config.yaml.YamlSection;
import io.jayhead.config.yaml.YamlValue;
import io.jayhead.model.fleet.IdempotencyKeySource;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads where the requests of a service carry their idempotency key. */
final class IdempotencyKeySourceReader {

    static final String RULE = "either {header: NAME} or {pointer: /FIELD}";

    private static final String HEADER_RULE = "the name of a header of 1 to 64 characters";
    private static final String POINTER_RULE = "a JSON pointer of at most 200 characters, such as /order";
    private static final Pattern HEADER = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}");
    private static final Pattern POINTER = Pattern.compile("(/([^~/]|~[01])*)+");

    /** Bounds the length of the field and the recursion depth of the regular expression. */
    private static final int MAX_POINTER_CHARACTERS = 200;

    private IdempotencyKeySourceReader() {}

    static Optional<IdempotencyKeySource> read(YamlValue value) {
        return value.section().flatMap(IdempotencyKeySourceReader::read);
    }

    private static Optional<IdempotencyKeySource> read(YamlSection section) {
        section.allowOnly(Set.of("header", "pointer"));
        boolean hasHeader = section.optional("header").isPresent();
        boolean hasPointer = section.optional("pointer").isPresent();
        if (hasHeader == hasPointer) {
            section.reject(RULE, hasHeader ? "both" : "neither");
            return Optional.empty();
        }
        return hasHeader
                ? section.optional("header")
                        .flatMap(value -> value.text(HEADER_RULE, IdempotencyKeySourceReader::header))
                        .map(IdempotencyKeySource.Header::new)
                : section.optional("pointer")
                        .flatMap(value -> value.text(POINTER_RULE, IdempotencyKeySourceReader::pointer))
                        .map(IdempotencyKeySource.Pointer::new);
    }

    private static Optional<String> header(String text) {
        return Optional.of(text).filter(value -> HEADER.matcher(value).matches());
    }

    private static Optional<String> pointer(String text) {
        return Optional.of(text)
                .filter(value -> value.length() <= MAX_POINTER_CHARACTERS)
                .filter(value -> POINTER.matcher(value).matches());
    }
}
