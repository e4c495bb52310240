/** Reads the requests of callers and runs them from admission to settlement. */
package io.jayhead.daemon.request;
