package io.jayhead.standins.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds a complete HTTP request.
 *
 * @param method the method in upper case
 * @param path the path as sent, without the query
 * @param segments the decoded segments of the path, without empty ones
 * @param query the first value of each query parameter
 * @param headers the headers by lower-case name
 * @param body the body as UTF-8 text
 * @param bodyBytes the length of the body in bytes, as received
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
     * @return its value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns a numeric query parameter.
     *
     * @param name the name of the parameter
     * @param defaultValue the value to return if the parameter is absent
     * @return the value of the parameter or the default
     * @throws IllegalArgumentException if the value is not a whole number
     */
    public long number(String name, long defaultValue) {
        String text = query.get(name);
        return text == null ? defaultValue : parseNumber(name, text);
    }

    /**
     * Returns a numeric header.
     *
     * @param name the lower-case name
     * @param defaultValue the value to return if the header is absent
     * @return the value of the header or the default
     * @throws IllegalArgumentException if the value is not a whole number
     */
    public long headerNumber(String name, long defaultValue) {
        return header(name).map(text -> parseNumber(name, text)).orElse(defaultValue);
    }

    /**
     * Tells whether the method and the leading segments match and the path has the given number of segments.
     *
     * @param expectedMethod the method
     * @param segmentCount the number of path segments
     * @param leadingSegments the first path segments
     * @return whether method, number and leading segments match
     */
    public boolean matches(String expectedMethod, int segmentCount, String... leadingSegments) {
        return method.equals(expectedMethod)
                && segments.size() == segmentCount
                && segments.subList(0, leadingSegments.length).equals(List.of(leadingSegments));
    }

    /** Tells whether the method may change state. */
    public boolean isWrite() {
        return !method.equals("GET") && !method.equals("HEAD");
    }

    private static long parseNumber(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " must be a whole number: " + text, e);
        }
    }
}
