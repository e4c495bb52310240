/** Bounded structured log lines. */
package io.jayhead.gateway.log;
