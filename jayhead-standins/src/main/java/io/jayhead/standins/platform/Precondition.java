package io.jayhead.standins.platform;

import io.jayhead.standins.http.Request;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** States what must hold for a write to take effect. */
public sealed interface Precondition {

    /**
     * Reads the condition from the headers of a request.
     *
     * @param request the request
     * @return the condition, or empty if the request has none
     * @throws IllegalArgumentException if a condition is malformed
     */
    static Optional<Precondition> of(Request request) {
        Optional<String> ifMatch = request.header("if-match");
        if (ifMatch.isPresent()) {
            return Optional.of(new Version(Version.parse(ifMatch.get())));
        }
        return request.header("if-none-match").map(Precondition::absent);
    }

    /**
     * Tells whether the condition holds.
     *
     * @param existing the object, or null if there is none
     * @return whether the write may take effect
     */
    boolean holds(StoredObject existing);

    private static Precondition absent(String value) {
        if (!value.equals("*")) {
            throw new IllegalArgumentException("If-None-Match must be *: " + value);
        }
        return new Absent();
    }

    /** Requires that the object does not exist. */
    record Absent() implements Precondition {
        @Override
        public boolean holds(StoredObject existing) {
            return existing == null;
        }
    }

    /**
     * Requires a version of the object.
     *
     * @param version the version
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
