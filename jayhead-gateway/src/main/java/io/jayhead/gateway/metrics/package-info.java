/** Collects the metrics of a router and writes them for Prometheus. */
package io.jayhead.gateway.metrics;
