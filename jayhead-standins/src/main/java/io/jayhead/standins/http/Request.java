package io.jayhead.standins.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds one complete HTTP request.
 *
 * @param method the method in upper case
 * @param path the path as sent, without the query
 * @param segments the decoded parts of the path
 * @param query the first value of each query parameter
 * @param headers the headers by lower-case name
 * @param body the body as UTF-8 text
 * @param bodyBytes the length of the body on the wire
 */
public record Request(
        String method,
        String path,
        List<String> segments,
        Map<String, String> query,
        Map<String, String> headers,
        String body,
        int bodyBytes) {

    /** Copies the collections. */
    public Request {
        segments = List.copyOf(segments);
        query = Map.copyOf(query);
        headers = Map.copyOf(headers);
    }

    /**
     * Returns a header.
     *
     * @param name the lower-case name
     * @return its value, or empty
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns a numeric query parameter.
     *
     * @param name the name of the parameter
     * @param absent the value where the parameter is absent
     * @return its value
     * @throws IllegalArgumentException if the value is not a whole number
     */
    public long number(String name, long absent) {
        String text = query.get(name);
        return text == null ? absent : parse(name, text);
    }

    /**
     * Returns a numeric header.
     *
     * @param name the lower-case name
     * @param absent the value where the header is absent
     * @return its value
     * @throws IllegalArgumentException if the value is not a whole number
     */
    public long headerNumber(String name, long absent) {
        return header(name).map(text -> parse(name, text)).orElse(absent);
    }

    /**
     * Tells whether the method and the first parts of the path match and the path has the given length.
     *
     * @param expectedMethod the method
     * @param length the number of path parts
     * @param first the first parts
     * @return whether all of them match
     */
    public boolean matches(String expectedMethod, int length, String... first) {
        return method.equals(expectedMethod)
                && segments.size() == length
                && segments.subList(0, first.length).equals(List.of(first));
    }

    /** Tells whether the method may change state. */
    public boolean isWrite() {
        return !method.equals("GET") && !method.equals("HEAD");
    }

    private static long parse(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " must be a whole number: " + text, e);
        }
    }
}
