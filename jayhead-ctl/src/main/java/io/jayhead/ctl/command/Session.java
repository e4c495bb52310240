package io.jayhead.ctl.command;

import io.jayhead.ctl.router.RouterGroup;
import java.util.function.Supplier;

/**
 * Holds the arguments, the console and the routers of one run of a command.
 *
 * @param arguments the operands and options
 * @param console receives the output
 * @param routers supplies the client of the routers; not called by commands that need no router
 */
public record Session(Arguments arguments, Console console, Supplier<RouterGroup> routers) {}
