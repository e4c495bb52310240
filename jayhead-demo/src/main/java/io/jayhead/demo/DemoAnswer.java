package io.jayhead.demo;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds the answer of a router to one request.
 *
 * @param status the HTTP status
 * @param verdictHeader the verdict in the header of an answer from a plain service; empty if the verdict is in the body
 * @param body the complete body
 */
record DemoAnswer(int status, String verdictHeader, String body) {

    private static final Pattern VERDICT = Pattern.compile("\"verdict\":\"([a-z_]+)\"");

    String verdict() {
        Matcher matcher = VERDICT.matcher(body);
        return verdictHeader.isEmpty() && matcher.find() ? matcher.group(1) : verdictHeader;
    }

    long occurrences(String text) {
        return (body.length() - body.replace(text, "").length()) / text.length();
    }
}
