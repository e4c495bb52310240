package io.jayhead.demo;

import java.util.function.Predicate;

/**
 * One request of the demonstration and what its answer must be.
 *
 * @param title the title to print
 * @param method the HTTP method
 * @param path the path
 * @param body the body of a POST
 * @param planKey the idempotency key of a generation
 * @param expected describes the expected answer
 * @param check tells whether an answer is the expected one
 */
record DemoStep(
        String title,
        String method,
        String path,
        String body,
        String planKey,
        String expected,
        Predicate<DemoAnswer> check) {}
