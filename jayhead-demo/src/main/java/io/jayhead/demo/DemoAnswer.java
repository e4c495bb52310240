package io.jayhead.demo;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An answer of a router.
 *
 * @param status the HTTP status
 * @param verdictHeader the verdict beside the answer of a plain service; empty for the others
 * @param body the whole body
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
