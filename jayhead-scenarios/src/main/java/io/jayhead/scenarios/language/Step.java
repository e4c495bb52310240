package io.jayhead.scenarios.language;

import java.util.OptionalLong;

/**
 * Holds one line of a scenario.
 *
 * @param line its number, from 1
 * @param text the line as written
 * @param atMs the earliest time since the start, or empty for at once
 * @param command what happens
 */
public record Step(int line, String text, OptionalLong atMs, Command command) {}
