/** Serves the connections of callers, the readiness check and the metrics page. */
package io.jayhead.gateway.edge;
