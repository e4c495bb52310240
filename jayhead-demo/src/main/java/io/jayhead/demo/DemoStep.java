package io.jayhead.demo;

import java.util.function.Predicate;

/**
 * Describes one request of the demonstration and its expected answer.
 *
 * @param title the title that is printed
 * @param method the HTTP method
 * @param path the path
 * @param body the request body; empty and not sent for GET
 * @param planKey the value of the {@code X-Plan} header, which is the idempotency key of long generations
 * @param expected the printed description of the expected answer
 * @param check returns whether an answer is the expected one
 */
record DemoStep(
        String title,
        String method,
        String path,
        String body,
        String planKey,
        String expected,
        Predicate<DemoAnswer> check) {}
