package io.jayhead.standins.platform;

import io.jayhead.standins.http.Request;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Represents the condition of a conditional write: an {@code If-Match} or {@code If-None-Match} header. */
public sealed interface Precondition {

    /**
     * Reads the condition from the headers of a request.
     *
     * @param request the request
     * @return the condition, or empty if the request has neither header
     * @throws IllegalArgumentException if the header is malformed
     */
    static Optional<Precondition> of(Request request) {
        Optional<String> ifMatch = request.header("if-match");
        if (ifMatch.isPresent()) {
            return Optional.of(new Version(Version.parse(ifMatch.get())));
        }
        return request.header("if-none-match").map(Precondition::absent);
    }

    /**
     * Tells whether the condition holds for the current state of the object.
     *
     * @param existing the stored object, or null if there is none
     * @return whether the write may take effect
     */
    boolean holds(StoredObject existing);

    private static Precondition absent(String value) {
        if (!value.equals("*")) {
            throw new IllegalArgumentException("If-None-Match must be *: " + value);
        }
        return new Absent();
    }

    /** Requires that the object does not exist, from {@code If-None-Match: *}. */
    record Absent() implements Precondition {
        @Override
        public boolean holds(StoredObject existing) {
            return existing == null;
        }
    }

    /**
     * Requires that the object exists with a version, from {@code If-Match}.
     *
     * @param version the expected version
     */
    record Version(long version) implements Precondition {

        private static final Pattern ETAG = Pattern.compile("\"(\\d{1,18})\"");

        @Override
        public boolean holds(StoredObject existing) {
            return existing != null && existing.version() == version;
        }

        private static long parse(String etag) {
            Matcher matcher = ETAG.matcher(etag);
            if (!matcher.matches()) {
                throw new IllegalArgumentException("If-Match must be a quoted version: " + etag);
            }
            return Long.parseLong(matcher.group(1));
        }
    }
}
