/** The control thread, which owns the mutable state of the router, and the clock that it uses. */
package io.jayhead.daemon.control;
