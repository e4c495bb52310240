package io.jayhead.scenarios.language;

import java.util.OptionalLong;

/**
 * Holds a step of a scenario.
 *
 * @param line the line number in the file, from 1
 * @param text the line as written
 * @param atMs the earliest time of execution in milliseconds, counted from when the run reaches its first timed step;
 *     empty for no wait
 * @param command the action or expectation
 */
public record Step(int line, String text, OptionalLong atMs, Command command) {}
