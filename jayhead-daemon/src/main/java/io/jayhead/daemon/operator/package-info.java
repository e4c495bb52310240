/** Serves the HTTP interface for operators. */
package io.jayhead.daemon.operator;
