/** The router process: command line, wiring of its components, startup and shutdown. */
package io.jayhead.daemon;
