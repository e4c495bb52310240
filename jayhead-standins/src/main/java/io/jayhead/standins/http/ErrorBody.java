package io.jayhead.standins.http;

/**
 * Describes why a stand-in refused a request.
 *
 * @param code the machine-readable reason
 * @param message an explanation, or null
 */
public record ErrorBody(String code, String message) {}
