package io.jayhead.demo;

/**
 * An answer of a router.
 *
 * @param status the HTTP status
 * @param body the whole body
 */
record DemoAnswer(int status, String body) {

    long occurrences(String text) {
        return (body.length() - body.replace(text, "").length()) / text.length();
    }
}
