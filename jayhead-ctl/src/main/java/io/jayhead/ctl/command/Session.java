package io.jayhead.ctl.command;

import io.jayhead.ctl.router.RouterGroup;
import java.util.function.Supplier;

/**
 * Holds what a command runs with.
 *
 * @param arguments the operands and options
 * @param console the output
 * @param routers connects to the routers; commands that need none do not call it
 */
public record Session(Arguments arguments, Console console, Supplier<RouterGroup> routers) {}
