/** Writes structured log lines at a bounded rate. */
package io.jayhead.gateway.log;
