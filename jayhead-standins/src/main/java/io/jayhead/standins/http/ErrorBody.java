package io.jayhead.standins.http;

/**
 * Holds the body of an error response.
 *
 * @param code the machine-readable error code
 * @param message an explanation for people, or null if there is none
 */
public record ErrorBody(String code, String message) {}
